use {
    super::{KeyValue, StoreError},
    futures::stream::LocalBoxStream,
};

/// One change in a watched range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted or its lease ended; only the key and the revision are set.
    Delete(KeyValue),
}

/// What one message of a watch carries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The store's revision.
    pub revision: u64,
    /// Changes in order; none in the first message and in progress messages.
    pub events: Vec<WatchEvent>,
    /// The watch can't go on: history before this revision is gone, so the range must be read anew.
    pub compacted: Option<u64>,
}

/// The messages of a watch, ending with an error or with the connection.
pub type WatchStream = LocalBoxStream<'static, Result<WatchBatch, StoreError>>;
