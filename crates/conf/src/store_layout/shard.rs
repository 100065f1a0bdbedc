use {
    crate::tree::{Node, Path, Tree},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// The key prefix of shards.
pub const SHARD_PREFIX: &str = "/jasmine/config/shard/";

/// The number of shards; must never change, because it determines the shard of every stored path.
pub const SHARDS: u16 = 256;

/// The nodes of the tree whose paths hash to one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// The revision of the nodes.
    pub at: Revision,
    /// The nodes by path.
    pub nodes: BTreeMap<Path, Node>,
}

impl Shard {
    /// Collects the nodes of `tree` that belong to `shard`.
    pub fn of(
        tree: &Tree,
        shard: u16,
    ) -> Self {
        Self {
            at: tree.revision(),
            nodes: tree
                .nodes()
                .filter(|(path, _)| shard_of(path) == shard)
                .map(|(path, node)| (path.clone(), node.clone()))
                .collect(),
        }
    }
}

/// The key of a shard.
pub fn shard_key(shard: u16) -> String {
    format!("{SHARD_PREFIX}{shard:03}")
}

/// The store shard that keeps the node at `path`: a hash of the path modulo [`SHARDS`].
pub fn shard_of(path: &Path) -> u16 {
    (xxh3_64(path.as_str().as_bytes()) % u64::from(SHARDS)) as u16
}
