use {
    crate::tree::AcceptedEdit,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// The response to a submitted edit.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EditResponse {
    /// The revision that the edit made, or would make in a dry run.
    pub revision: Revision,
    /// Whether this was a dry run, which writes nothing.
    pub dry_run: bool,
    /// The edit as accepted.
    pub accepted: AcceptedEdit,
}
