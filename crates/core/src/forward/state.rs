use crate::clock::Millis;

/// State of a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waiting for an upstream to be chosen.
    Routing,
    /// Sent; waiting for the head of the response.
    Sent,
    /// Waiting to resume the stream.
    WaitingToResume { until: Millis },
    /// Resumption sent; waiting for the head of the response.
    Resuming,
    /// Receiving parts of the response.
    Receiving,
    /// Forwarding has ended.
    Done,
}

impl State {
    /// Whether bytes of the current attempt may have been sent.
    pub(super) const fn is_in_flight(self) -> bool {
        !matches!(self, Self::Routing | Self::Done)
    }
}
