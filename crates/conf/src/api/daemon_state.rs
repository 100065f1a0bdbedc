use {
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// What is known of one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
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
