use {
    super::Edit,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// An edit that is in force from its revision on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: Revision,
    /// When it was accepted, in milliseconds since 1970, by the clock of the VM that took it.
    pub at_unix_ms: u64,
    /// The numbers given to the nodes that it creates, in the order of its ops.
    pub numbers: Vec<u32>,
    /// The edit.
    pub edit: Edit,
}
