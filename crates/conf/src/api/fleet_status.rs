use {
    super::VmStatus,
    jasmine_core::ids::{Revision, VmId},
    serde::{Deserialize, Serialize},
};

/// The fleet as the asked controller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetStatus {
    /// The VM of the controller that answers.
    pub asked: VmId,
    /// The revision that it has in force.
    pub revision: Revision,
    /// Whether it reaches the key-value service.
    pub store_up: bool,
    /// All VMs that it knows, in the order of their numbers.
    pub vms: Vec<VmStatus>,
}
