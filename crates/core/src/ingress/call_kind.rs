use crate::forward::Repeat;

/// Whether requests of a route can be repeated or resumed after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// A stream of events with increasing ids.
    Stream {
        /// Whether another upstream can resume after a given event; otherwise it may run once.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a request may run more than once.
    pub const fn repeat(self) -> Repeat {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => Repeat::Idempotent,
            Self::NonIdempotent | Self::Stream { resumable: false } => Repeat::Once,
        }
    }

    /// Whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
