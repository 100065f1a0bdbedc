use crate::forward::Repeat;

/// What may be done with a request of a route when its first attempt fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// A stream of events with increasing ids.
    Stream {
        /// Whether another upstream can go on after a given event. Without that it may run once.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a second run does no harm.
    pub const fn repeat(self) -> Repeat {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } => Repeat::Idempotent,
            Self::NonIdempotent | Self::Stream { resumable: false } => Repeat::Once,
        }
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}
