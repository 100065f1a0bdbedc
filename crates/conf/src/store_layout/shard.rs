use {
    crate::tree::{Node, Path, Tree},
    jasmine_core::ids::Revision,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// What the keys of shards begin with.
pub const SHARD_PREFIX: &str = "/jasmine/config/shard/";

/// How many shards there are; never changed, since it says where a path falls.
///
/// At 52,000 adapters with two versions each a shard has about 60 KB; the largest tree that fits is
/// about 200 MB.
pub const SHARDS: u16 = 256;

/// The part of the tree that falls to one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// The revision that the nodes are of.
    pub at: Revision,
    /// The nodes.
    pub nodes: BTreeMap<Path, Node>,
}

impl Shard {
    /// The part of `tree` that falls to `shard`.
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

/// The shard that a path falls to.
pub fn shard_of(path: &Path) -> u16 {
    (xxh3_64(path.as_str().as_bytes()) % u64::from(SHARDS)) as u16
}
