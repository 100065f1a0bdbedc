use {
    super::{admission_log::AdmissionLog, admission_share::AdmissionPart},
    crate::clock::Millis,
};

/// Window in which the requests to an upstream with a request limit are counted: 4 s, and the
/// variation of the time from the assignment of a request to its arrival.
pub const LIMIT_WINDOW: Millis = Millis(4_250);
/// Shorter window in which a scheduler sends no more than the limit, so that the requests of a
/// window don't come all at once.
const PACE_WINDOW: Millis = Millis(1_000);

/// A request limit that an upstream has stated.
///
/// An upstream must get at most 6 times the limit and 5 requests in 4 s, summed over all VMs. The
/// parts of a scheduler, of two more that take over within a window and of all VMs in standalone
/// mode are `4 L`, twice `0.75 L + 1.5` and `0.5 L + 1`: together `6 L + 5`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestLimit {
    /// Requests per second from all VMs together.
    pub per_second: f64,
    /// When it was last stated.
    pub stated_at: Millis,
}

impl RequestLimit {
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

    /// How long until one more request may be sent after those of the log; `None` if it isn't
    /// known.
    pub(super) fn wait(
        self,
        part: AdmissionPart,
        log: &AdmissionLog,
        now: Millis,
    ) -> Option<Millis> {
        let in_window = log.wait(self.allowed(part), LIMIT_WINDOW, now)?;
        let pace = (self.per_second.ceil() as usize).max(1);
        let in_pace = log.wait(pace, PACE_WINDOW, now)?;
        Some(in_window.max(in_pace))
    }

    /// Requests that a scheduler with this part may send in a window.
    ///
    /// A scheduler may always send one, as the limit ends with a response that doesn't state it.
    fn allowed(
        self,
        part: AdmissionPart,
    ) -> usize {
        let whole = ((self.per_second * 4.0) as usize).max(1);
        match part {
            AdmissionPart::None => 0,
            AdmissionPart::Scheduler => whole,
            AdmissionPart::ContendedScheduler => whole.min((self.per_second * 0.75 + 1.5) as usize),
            AdmissionPart::Standalone { .. } => {
                part.share_of((self.per_second * 0.5 + 1.0) as usize)
            }
        }
    }
}
