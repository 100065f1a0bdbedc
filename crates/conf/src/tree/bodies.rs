use {
    super::{AcceptedEdit, Family, Node, Path, Tree},
    imbl::OrdMap,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The JSON representation of a whole tree, for transfer between daemons.
///
/// Shares its nodes with the tree that it is converted from or into.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TreeBody {
    /// The revision of the tree.
    pub revision: Revision,
    /// The next number to assign in each family.
    pub next_numbers: BTreeMap<Family, u32>,
    /// The nodes by path.
    pub nodes: OrdMap<Path, Node>,
}

impl From<&Tree> for TreeBody {
    fn from(tree: &Tree) -> Self {
        Self {
            revision: tree.revision(),
            next_numbers: tree.next_numbers().clone(),
            nodes: tree.nodes.clone(),
        }
    }
}

impl From<TreeBody> for Tree {
    fn from(body: TreeBody) -> Self {
        Self::from_map(body.revision, body.next_numbers, body.nodes)
    }
}

/// The JSON representation of contiguous accepted edits, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditsBody {
    /// The edits, oldest first.
    pub edits: Vec<AcceptedEdit>,
}
