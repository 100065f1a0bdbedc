use {
    crate::tree::{Node, Path},
    serde::{Deserialize, Serialize},
};

/// A node with its path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRow {
    /// The path of the node.
    pub path: Path,
    /// The node.
    #[serde(flatten)]
    pub node: Node,
}
