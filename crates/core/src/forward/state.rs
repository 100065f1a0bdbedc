use crate::clock::Millis;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits for an upstream to be chosen.
    Routing,
    /// Sent; waits for the head.
    Sent,
    /// Waits until a stream is resumed again.
    Pausing { until: Millis },
    /// A resumption was sent; waits for the head.
    Resuming,
    /// Parts arrive.
    Answering,
    /// Nothing more happens.
    Done,
}

impl State {
    /// Whether bytes of the attempt under way may have left.
    pub(super) const fn is_out(self) -> bool {
        !matches!(self, Self::Routing | Self::Done)
    }
}
