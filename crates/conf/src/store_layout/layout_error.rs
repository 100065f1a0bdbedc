use {crate::tree::EditError, jasmine_core::ids::Revision};

/// Why what stands in the store gives no tree, or an edit can't be stored.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum LayoutError {
    /// A value is not what this system writes.
    #[display("{key}: {source}")]
    Malformed {
        /// The key.
        key: String,
        /// Where and why the parser stopped.
        source: serde_json::Error,
    },
    /// The head names a shard that this version of the system doesn't have.
    #[display("the head names a shard that this version doesn't know")]
    UnknownShard,
    /// An edit came while the tree was read; read again from the head.
    #[display("shard {shard} is not of the head that was read: read again")]
    Moved {
        /// The shard.
        shard: u16,
    },
    /// A record that a shard lacks is missing.
    #[display("the record of revision {revision} is missing")]
    Gap {
        /// The revision.
        revision: Revision,
    },
    /// The records are not in the order of their revisions.
    #[display("{_0}")]
    OutOfOrder(EditError),
    /// The tree has grown over what the layout carries.
    #[display("shard {shard} would have {bytes} bytes; allowed are {allowed}")]
    ShardTooLarge {
        /// The shard.
        shard: u16,
        /// Its size.
        bytes: usize,
        /// The limit.
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
