use {
    super::{DaemonState, FleetStatus},
    crate::tree::EditId,
    jasmine_core::ids::{Revision, VmId},
    serde::{Deserialize, Serialize},
};

/// Whether an edit is in force on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmProgress {
    /// The id of the VM.
    pub vm: VmId,
    /// The name of its data centre.
    pub data_centre: String,
    /// The state of its controller.
    pub controller: DaemonState,
    /// The state of its gateway.
    pub gateway: DaemonState,
    /// Whether every known daemon on the VM has the edit in force.
    pub in_force: bool,
}

/// The rollout progress of an accepted edit over the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EditProgress {
    /// The id of the edit.
    pub id: EditId,
    /// The revision that the edit made.
    pub revision: Revision,
    /// Whether the edit is in force on every VM; false if no VM is known.
    pub everywhere: bool,
    /// The progress on each VM.
    pub vms: Vec<VmProgress>,
}

impl EditProgress {
    /// Compares an edit's revision with the revision in force on each VM.
    ///
    /// A daemon that did not answer counts as not updated, because it may still serve requests.
    pub fn of(
        id: EditId,
        revision: Revision,
        fleet: &FleetStatus,
    ) -> Self {
        let done = |daemon: DaemonState| daemon == DaemonState::Absent || daemon.has(revision);
        let vms: Vec<_> = fleet
            .vms
            .iter()
            .map(|vm| VmProgress {
                vm: vm.vm,
                data_centre: vm.data_centre.clone(),
                controller: vm.controller,
                gateway: vm.gateway,
                in_force: done(vm.controller) && done(vm.gateway),
            })
            .collect();
        Self {
            id,
            revision,
            everywhere: !vms.is_empty() && vms.iter().all(|vm| vm.in_force),
            vms,
        }
    }
}
