use {
    super::NodeRow,
    crate::tree::Path,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// Part of the tree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TreePage {
    /// The revision that was read.
    pub revision: Revision,
    /// The nodes, in the order of their paths.
    pub nodes: Vec<NodeRow>,
    /// The last path of this page, to be named as `after` for the next; none: that was all.
    pub next: Option<Path>,
}
