use {
    crate::tree::{Accepted, Node, Path},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
};

/// One node with its path.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRow {
    /// Where it stands.
    pub path: Path,
    /// The node.
    #[serde(flatten)]
    pub node: Node,
}

/// Part of the tree.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TreePage {
    /// The revision that was read.
    pub revision: Revision,
    /// The nodes, in the order of their paths.
    pub nodes: Vec<NodeRow>,
    /// The last path of this page, to be named as `after` for the next; none: that was all.
    pub next: Option<Path>,
}

/// Accepted edits, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// The edits.
    pub edits: Vec<Accepted>,
}

/// What became of an edit that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// The revision that it made, or would make in a dry run.
    pub revision: Revision,
    /// Whether nothing was written because that was asked for.
    pub dry_run: bool,
    /// The edit as accepted.
    pub accepted: Accepted,
}
