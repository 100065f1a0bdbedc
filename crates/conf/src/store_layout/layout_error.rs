use {crate::tree::EditError, jasmine_core::ids::Revision};

/// Why the tree cannot be loaded from the store, or an edit cannot be stored.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum LayoutError {
    /// A stored value cannot be parsed.
    #[display("{key}: {source}")]
    Malformed {
        /// The key.
        key: String,
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// The head names a shard number that is not below [`super::SHARDS`].
    #[display("the head names a shard number that is out of range")]
    UnknownShard,
    /// An edit was stored while the tree was read; the load must restart from the head.
    #[display(
        "shard {shard} does not match the head: an edit was stored during the load, load again"
    )]
    ShardMismatch {
        /// The shard.
        shard: u16,
    },
    /// An edit record needed to load the tree is missing.
    #[display("the edit record of revision {revision} is missing")]
    MissingRecord {
        /// The revision.
        revision: Revision,
    },
    /// The edit records are not in the order of their revisions.
    #[display("{_0}")]
    OutOfOrder(EditError),
    /// A shard has grown beyond the size of one write.
    #[display("shard {shard} would be {bytes} bytes, the limit is {allowed}")]
    ShardTooLarge {
        /// The shard.
        shard: u16,
        /// Its size in bytes.
        bytes: usize,
        /// The limit in bytes.
        allowed: usize,
    },
}

impl LayoutError {
    pub(super) fn malformed(
        key: &str,
        source: serde_json::Error,
    ) -> Self {
        Self::Malformed {
            key: key.to_owned(),
            source,
        }
    }
}
