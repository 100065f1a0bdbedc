use {
    super::{KeyValue, StoreError},
    futures::stream::LocalBoxStream,
};

/// One change in a watched range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted or its lease expired; only the key and the revision are set.
    Delete(KeyValue),
}

/// One message of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The store revision of the message.
    pub revision: u64,
    /// Changes in order; empty in the first message and in progress notifications.
    pub events: Vec<WatchEvent>,
    /// Set if history before this revision is compacted: the range must be read again.
    pub compacted: Option<u64>,
}

/// The messages of a watch; ends with an error or when the connection closes.
pub type WatchStream = LocalBoxStream<'static, Result<WatchBatch, StoreError>>;
