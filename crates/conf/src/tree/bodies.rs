use {
    super::{Accepted, Family, Node, Path, Tree},
    imbl::OrdMap,
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// A whole tree as it goes over the wire, in JSON.
///
/// It shares its nodes with the tree that it is made from or becomes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TreeBody {
    /// Its revision.
    pub revision: Revision,
    /// The next number that each family gives out.
    pub next_numbers: BTreeMap<Family, u32>,
    /// Its nodes.
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

/// Accepted edits as they go over the wire, oldest first, without a gap, in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditsBody {
    /// The edits.
    pub edits: Vec<Accepted>,
}
