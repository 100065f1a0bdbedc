use {
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// The known state of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum DaemonState {
    /// The daemon answered.
    #[display("{revision}")]
    Up {
        /// The revision that the daemon has in force.
        revision: Revision,
    },
    /// The daemon is a member of the fleet and did not answer in time.
    #[display("silent")]
    Silent,
    /// The VM is not known to run this daemon.
    #[display("absent")]
    Absent,
}

impl DaemonState {
    /// Whether the daemon is known to have `revision` or a later one in force.
    pub fn has(
        self,
        revision: Revision,
    ) -> bool {
        matches!(self, Self::Up { revision: have } if have >= revision)
    }
}
