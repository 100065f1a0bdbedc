use {
    jasmine_core::ids::{Holder, Incarnation, Role, UpstreamId, VmId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// A VM of the serving layer, as reported by the controllers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// VM described by this entry.
    pub vm: VmId,
    /// The address on which its controller serves other daemons.
    pub controller: SocketAddr,
    /// Incarnation and address of its gateway, if one runs.
    pub gateway: Option<(Incarnation, SocketAddr)>,
    /// Whether it is draining before a planned stop.
    pub is_draining: bool,
}

/// The VMs of the serving layer and the owner of each engine.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_vm: BTreeMap<VmId, Member>,
    owners: HashMap<UpstreamId, VmId>,
}

impl Members {
    /// Replaces the list of members and owners.
    ///
    /// An empty list is ignored: it comes from a controller that has just started.
    pub fn set(
        &mut self,
        members: Vec<Member>,
        owners: HashMap<UpstreamId, VmId>,
    ) {
        if members.is_empty() {
            return;
        }
        self.by_vm = members
            .into_iter()
            .map(|member| (member.vm, member))
            .collect();
        self.owners = owners;
    }

    /// The ids of all VMs.
    pub fn vms(&self) -> impl Iterator<Item = VmId> {
        self.by_vm.keys().copied()
    }

    /// The controllers of all VMs other than `own`.
    pub fn controllers_except(
        &self,
        own: VmId,
    ) -> Vec<(VmId, SocketAddr)> {
        self.by_vm
            .values()
            .filter(|member| member.vm != own)
            .map(|member| (member.vm, member.controller))
            .collect()
    }

    /// The address of a VM's controller.
    pub fn controller(
        &self,
        vm: VmId,
    ) -> Option<SocketAddr> {
        self.by_vm.get(&vm).map(|member| member.controller)
    }

    /// The VM and address of the controller that owns an engine.
    pub fn owner(
        &self,
        upstream: UpstreamId,
    ) -> Option<(VmId, SocketAddr)> {
        let vm = *self.owners.get(&upstream)?;
        Some((vm, self.controller(vm)?))
    }

    /// The engines that a VM's controller owns.
    pub fn owned_by(
        &self,
        vm: VmId,
    ) -> impl Iterator<Item = UpstreamId> {
        let owned = self.owners.iter().filter(move |&(_, &owner)| owner == vm);
        owned.map(|(&upstream, _)| upstream)
    }

    /// The VMs whose controllers own at least one engine.
    pub fn owner_vms(&self) -> BTreeSet<VmId> {
        self.owners.values().copied().collect()
    }

    /// The incarnation of a VM's gateway.
    pub fn gateway_incarnation(
        &self,
        vm: VmId,
    ) -> Option<Incarnation> {
        let (incarnation, _) = self.by_vm.get(&vm)?.gateway?;
        Some(incarnation)
    }

    /// The address of a holder's gateway, unless another incarnation has replaced it.
    pub fn gateway(
        &self,
        holder: Holder,
    ) -> Option<SocketAddr> {
        match self.by_vm.get(&holder.vm)?.gateway {
            Some((incarnation, address)) if incarnation == holder.incarnation => Some(address),
            _ => None,
        }
    }

    /// The gateways that hold rights, and whether each is draining.
    pub fn holders_with_draining(&self) -> Vec<(Holder, bool)> {
        let is_draining = |vm| self.by_vm.get(&vm).is_some_and(|member| member.is_draining);
        self.holders()
            .into_iter()
            .map(|holder| (holder, is_draining(holder.vm)))
            .collect()
    }

    /// Gateways that hold shares of the accounts' rate limits.
    pub fn holders(&self) -> Vec<Holder> {
        self.by_vm
            .values()
            .filter_map(|member| {
                let (incarnation, _) = member.gateway?;
                Some(Holder {
                    vm: member.vm,
                    role: Role::Gateway,
                    incarnation,
                })
            })
            .collect()
    }
}
