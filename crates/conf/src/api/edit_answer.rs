use {
    crate::tree::Accepted,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// What became of an edit that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EditAnswer {
    /// The revision that it made, or would make in a dry run.
    pub revision: Revision,
    /// Whether nothing was written because that was asked for.
    pub dry_run: bool,
    /// The edit as accepted.
    pub accepted: Accepted,
}
