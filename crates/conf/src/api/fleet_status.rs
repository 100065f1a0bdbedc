use {
    jasmine_core::ids::{Epoch, Revision, VmId},
    serde::{Deserialize, Serialize},
};

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum DaemonState {
    /// It answered and has this revision in force.
    #[display("{revision}")]
    Up {
        /// The revision.
        revision: Revision,
    },
    /// It is a member and did not answer in time.
    #[display("silent")]
    Silent,
    /// No such daemon is known on this VM.
    #[display("absent")]
    Absent,
}

impl DaemonState {
    /// Whether it is known to have `revision` or a later one in force.
    pub fn has(
        self,
        revision: Revision,
    ) -> bool {
        matches!(self, Self::Up { revision: have } if have >= revision)
    }
}

/// One VM as the asked controller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Its number.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its controller.
    pub controller: DaemonState,
    /// Its gateway, as its controller sees it.
    pub gateway: DaemonState,
    /// Whether its controller reaches the key-value service; none: it did not say.
    pub store_up: Option<bool>,
    /// The epoch of rights that it is in; none: it did not say.
    pub epoch: Option<Epoch>,
    /// Engines that it owns; none: it did not say.
    pub owned: Option<u32>,
}

/// The fleet as the asked controller sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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
