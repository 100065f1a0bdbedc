use {
    jasmine_core::ids::{Holder, Incarnation, Role, UpstreamId, VmId},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
    },
};

/// A VM of the serving layer as controllers tell of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its number.
    pub vm: VmId,
    /// Where its controller listens for other daemons.
    pub controller: SocketAddr,
    /// Its gateway's run and address.
    pub gateway: Option<(Incarnation, SocketAddr)>,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// Who is there and who owns which engine.
#[derive(Clone, Debug, Default)]
pub struct Members {
    by_vm: BTreeMap<VmId, Member>,
    owners: HashMap<UpstreamId, VmId>,
}

impl Members {
    /// Takes a newer list.
    ///
    /// A list without anybody is no list: a controller that has just started knows nobody yet.
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

    /// The VMs.
    pub fn vms(&self) -> impl Iterator<Item = VmId> {
        self.by_vm.keys().copied()
    }

    /// The controllers of the other VMs.
    pub fn controllers_but_for(
        &self,
        own: VmId,
    ) -> Vec<(VmId, SocketAddr)> {
        self.by_vm
            .values()
            .filter(|member| member.vm != own)
            .map(|member| (member.vm, member.controller))
            .collect()
    }

    /// A VM's controller.
    pub fn controller(
        &self,
        vm: VmId,
    ) -> Option<SocketAddr> {
        self.by_vm.get(&vm).map(|member| member.controller)
    }

    /// The controller that owns an engine.
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

    /// The VMs whose controllers own any engine.
    pub fn owning_vms(&self) -> BTreeSet<VmId> {
        self.owners.values().copied().collect()
    }

    /// The run of a VM's gateway.
    pub fn gateway_run(
        &self,
        vm: VmId,
    ) -> Option<Incarnation> {
        let (incarnation, _) = self.by_vm.get(&vm)?.gateway?;
        Some(incarnation)
    }

    /// Where a holder listens, as long as that very run is the one that is known.
    pub fn gateway(
        &self,
        holder: Holder,
    ) -> Option<SocketAddr> {
        match self.by_vm.get(&holder.vm)?.gateway {
            Some((incarnation, address)) if incarnation == holder.incarnation => Some(address),
            _ => None,
        }
    }

    /// The gateways that hold rights, and whether each is about to stop.
    pub fn stopping(&self) -> Vec<(Holder, bool)> {
        let leaving = |vm| self.by_vm.get(&vm).is_some_and(|member| member.leaving);
        self.holders()
            .into_iter()
            .map(|holder| (holder, leaving(holder.vm)))
            .collect()
    }

    /// The gateways that hold rights.
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
