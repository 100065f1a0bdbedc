use {
    super::{EditId, EditOp},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// A proposed change of the tree, applied atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The id chosen by the author, which makes retries idempotent.
    pub id: EditId,
    /// The name of the author.
    pub author: String,
    /// The revision that the edit is based on.
    pub base: Revision,
    /// The changes, in order.
    pub ops: Vec<EditOp>,
}
