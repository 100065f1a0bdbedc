use {
    jasmine_core::{clock::Millis, feed::SourceFailure},
    jasmine_store::store::WatchEvent,
};

/// What a VM answers to one that asks for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAnswer {
    /// These are all.
    Changes {
        /// The store's revision up to which they go.
        revision: u64,
        /// How long ago the store came back after it had been away; none where that is long ago.
        since_back: Option<Millis>,
        /// The last change of each key.
        events: Vec<WatchEvent>,
    },
    /// This VM can't say.
    Unknown(SourceFailure),
}
