use crate::{clock::Millis, decaying_sum::DecayingSum};

/// Half-life of recorded successes and failures.
const HALF_LIFE: Millis = Millis(3_000);
/// Assumed earlier successes, so that a single failure doesn't give a failure rate of 1.
const PRIOR_SUCCESSES: f64 = 4.0;
/// Consecutive failures from which an upstream is suspect.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// A suspect upstream is paused if its failure rate exceeds that of the others of its service by
/// this factor.
const OUTLIER_FACTOR: f64 = 2.0;
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
    consecutive_failures: u32,
    /// Whether a request was sent to a suspect upstream and has not ended.
    is_trial_pending: bool,
    paused_until: Millis,
}

impl Health {
    pub(super) fn note_success(
        &mut self,
        now: Millis,
    ) {
        self.successes.add(1.0, now, HALF_LIFE);
        self.consecutive_unreachable = 0;
        self.consecutive_failures = 0;
        self.paused_until = Millis::ZERO;
    }

    pub(super) fn note_failure(
        &mut self,
        now: Millis,
    ) {
        self.failures.add(1.0, now, HALF_LIFE);
    }

    /// Records a request that ran into an error, or whose connection broke.
    pub(super) fn note_error(
        &mut self,
        now: Millis,
    ) {
        self.note_failure(now);
        self.consecutive_failures += 1;
    }

    /// Records the first event of a stream, which shows that the upstream works.
    pub(super) const fn note_first_event(&mut self) {
        self.consecutive_failures = 0;
        self.is_trial_pending = false;
    }

    /// Records a request that was given up after silence; pauses the upstream if its last requests all failed.
    ///
    /// A sound upstream may be silent for a while.
    pub(super) fn note_silence(
        &mut self,
        now: Millis,
    ) {
        self.note_error(now);
        if self.is_suspect() {
            self.pause(now);
        }
    }

    /// Records a connection failure; pauses the upstream.
    pub(super) fn note_unreachable(
        &mut self,
        now: Millis,
    ) {
        self.note_error(now);
        self.pause(now);
    }

    /// Pauses a suspect upstream that fails much more often than the others of its service, whose
    /// mean failure rate is `others`.
    ///
    /// One that fails at once has free slots when the others have none, so that it would get most
    /// requests under load.
    pub(super) fn pause_outlier(
        &mut self,
        others: f64,
        now: Millis,
    ) {
        if self.is_suspect() && self.failure_rate(now) > others * OUTLIER_FACTOR {
            self.pause(now);
        }
    }

    fn pause(
        &mut self,
        now: Millis,
    ) {
        let pause = Millis(MIN_PAUSE.0 << self.consecutive_unreachable.min(8)).min(MAX_PAUSE);
        self.consecutive_unreachable += 1;
        self.paused_until = now + pause;
    }

    /// Whether its last requests all failed; it gets one at a time then.
    pub(super) const fn is_suspect(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Records that a request was sent.
    pub(super) const fn note_sent(&mut self) {
        self.is_trial_pending = self.is_suspect();
    }

    /// Records that a request has ended, whatever its outcome.
    pub(super) const fn note_ended(&mut self) {
        self.is_trial_pending = false;
    }

    /// Whether the upstream is not paused, and not suspect with a trial request under way.
    pub(super) fn is_available(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.paused_until && !self.is_trial_pending
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
