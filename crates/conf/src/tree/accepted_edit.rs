use {
    super::Edit,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// An accepted edit with the revision that it made.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AcceptedEdit {
    /// The revision that the edit made.
    pub revision: Revision,
    /// When the edit was accepted, in milliseconds since the Unix epoch, by the clock of the accepting VM.
    pub at_unix_ms: u64,
    /// The numbers assigned to the nodes that the edit creates, in the order of its ops.
    pub numbers: Vec<u32>,
    /// The edit as submitted.
    pub edit: Edit,
}
