use {
    jasmine_core::{clock::Millis, streams::StreamOrigin},
    std::{cell::Cell, rc::Rc},
};

/// The part of an answer that was forwarded to the caller.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The build that began the stream.
    pub origin: StreamOrigin,
    /// The id of the last event that the caller has.
    pub last_event: Rc<Cell<Option<u64>>>,
    /// Number of events forwarded.
    pub events: u64,
    /// When the first data was forwarded.
    pub first_at: Option<Millis>,
    /// When the last data was forwarded.
    pub last_at: Option<Millis>,
}
