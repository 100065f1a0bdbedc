use {
    super::{EditId, EditOp},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// A wished change of the tree: all of its ops or none.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// Its name, chosen by whoever made it, so that sending it again does nothing twice.
    pub id: EditId,
    /// Who made it.
    pub author: String,
    /// The revision that its author had read.
    pub base: Revision,
    /// What changes, in this order.
    pub ops: Vec<EditOp>,
}
