use {
    super::{DaemonState, FleetStatus},
    crate::tree::EditId,
    jasmine_core::ids::{Revision, VmId},
    serde::{Deserialize, Serialize},
};

/// How far an edit is in force on one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmProgress {
    /// The VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: String,
    /// Its controller and the revision there.
    pub controller: DaemonState,
    /// Its gateway and the revision there.
    pub gateway: DaemonState,
    /// Whether every daemon known on it has the edit in force.
    pub in_force: bool,
}

/// How far an accepted edit is in force over the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EditProgress {
    /// The edit.
    pub id: EditId,
    /// The revision that it made.
    pub revision: Revision,
    /// Whether it is in force on every VM.
    pub everywhere: bool,
    /// Each VM.
    pub vms: Vec<VmProgress>,
}

impl EditProgress {
    /// Compares an edit's revision with what each VM has in force.
    ///
    /// A daemon that did not answer counts as not having it: it may be cut off and still serve.
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
