use {
    jasmine_core::{clock::Millis, feed::SourceFailure},
    jasmine_store::store::WatchEvent,
};

/// A VM's reply to another VM's request for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedReply {
    /// All changes up to a revision.
    Changes {
        /// The store revision up to which the changes are complete.
        revision: u64,
        /// Time since the store last recovered from an outage; none if it didn't recently.
        since_recovery: Option<Millis>,
        /// Time since the store last answered the VM.
        answered_ago: Millis,
        /// The last change of each key.
        events: Vec<WatchEvent>,
    },
    /// This VM doesn't know the changes.
    Unknown(SourceFailure),
}
