use crate::clock::Millis;

/// What an upstream states about itself in the head of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamSignals {
    /// Requests per second that it takes from all VMs together; `None` if it states no limit.
    pub request_limit: Option<f64>,
}

/// How a response changed what is known of its upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignalChanges {
    /// The new request limit in requests per second, `Some(None)` if it has ended; `None` if it is
    /// unchanged.
    pub request_limit: Option<Option<f64>>,
}

/// A request limit that an upstream has stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct StatedLimit {
    /// Requests per second from all VMs together.
    pub per_second: f64,
    /// When it was last stated.
    pub stated_at: Millis,
}

impl StatedLimit {
    /// The limit after a response to a request that was sent at `sent_at`.
    ///
    /// Responses may overtake each other: one to a request that was sent before the limit was last
    /// stated doesn't end or raise it.
    pub(super) fn after_response(
        known: Option<Self>,
        stated: Option<f64>,
        sent_at: Millis,
        now: Millis,
    ) -> Option<Self> {
        let is_overtaken = known.is_some_and(|known| sent_at <= known.stated_at);
        match (known, stated) {
            (Some(known), None) if is_overtaken => Some(known),
            (Some(known), Some(per_second)) if is_overtaken => Some(Self {
                per_second: per_second.min(known.per_second),
                stated_at: now,
            }),
            (_, Some(per_second)) => Some(Self {
                per_second,
                stated_at: now,
            }),
            (_, None) => None,
        }
    }
}
