use crate::{clock::Millis, decaying_sum::DecayingSum};

/// Half-life of recorded successes and failures.
const HALF_LIFE: Millis = Millis(3_000);
/// Assumed earlier successes, so that a single failure doesn't give a failure rate of 1.
const PRIOR_SUCCESSES: f64 = 4.0;
/// Pause of an upstream after its first failed connection; doubles with each further failure.
const MIN_PAUSE: Millis = Millis(200);
/// Longest pause of an upstream, and so the longest delay until its recovery is noticed.
const MAX_PAUSE: Millis = Millis(1_600);

/// Recent health of an upstream, measured by the outcomes of its requests.
///
/// A passing health check doesn't show that some of its requests fail.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failures: DecayingSum,
    successes: DecayingSum,
    consecutive_unreachable: u32,
    paused_until: Millis,
}

impl Health {
    pub(super) fn note_success(
        &mut self,
        now: Millis,
    ) {
        self.successes.add(1.0, now, HALF_LIFE);
        self.consecutive_unreachable = 0;
        self.paused_until = Millis::ZERO;
    }

    pub(super) fn note_failure(
        &mut self,
        now: Millis,
    ) {
        self.failures.add(1.0, now, HALF_LIFE);
    }

    /// Records a connection failure or a timeout; pauses the upstream.
    pub(super) fn note_unreachable(
        &mut self,
        now: Millis,
    ) {
        self.note_failure(now);
        let pause = Millis(MIN_PAUSE.0 << self.consecutive_unreachable.min(8)).min(MAX_PAUSE);
        self.consecutive_unreachable += 1;
        self.paused_until = now + pause;
    }

    /// Whether the upstream is not paused.
    pub(super) fn is_available(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.paused_until
    }

    /// Recent failure rate, from 0 to 1.
    pub(super) fn failure_rate(
        &self,
        now: Millis,
    ) -> f64 {
        let failures = self.failures.get(now, HALF_LIFE);
        failures / (failures + self.successes.get(now, HALF_LIFE) + PRIOR_SUCCESSES)
    }
}
