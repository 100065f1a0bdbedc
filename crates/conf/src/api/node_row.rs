use {
    crate::tree::{Node, Path},
    serde::{Deserialize, Serialize},
};

/// One node with its path.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRow {
    /// Where it stands.
    pub path: Path,
    /// The node.
    #[serde(flatten)]
    pub node: Node,
}
