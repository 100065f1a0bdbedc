use {
    super::VmStatus,
    jasmine_core::ids::{Revision, VmId},
    serde::{Deserialize, Serialize},
};

/// The fleet as seen by the controller that answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FleetStatus {
    /// The VM of the controller that answers.
    pub asked: VmId,
    /// The revision that this controller has in force.
    pub revision: Revision,
    /// Whether this controller can reach the key-value service.
    pub store_up: bool,
    /// All VMs known to this controller, ordered by id.
    pub vms: Vec<VmStatus>,
}
