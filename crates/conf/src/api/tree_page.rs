use {
    super::NodeRow,
    crate::tree::Path,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// One page of a tree listing.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TreePage {
    /// The revision of the tree.
    pub revision: Revision,
    /// The nodes, ordered by path.
    pub nodes: Vec<NodeRow>,
    /// The last path of this page, to pass as `after` for the next page; `None` on the last page.
    pub next: Option<Path>,
}
