use crate::{clock::Millis, decayed::Decayed};

/// How fast what an upstream has done is forgotten.
const HALF_LIFE: Millis = Millis(3_000);
/// Successes that an upstream is given in advance, so that one failure doesn't count as all failing.
const PRIOR: f64 = 4.0;
/// The first pause after an upstream couldn't be reached; doubled with each further time.
const FIRST_PAUSE: Millis = Millis(200);
/// The longest pause; an upstream that is back is noticed this late at most.
const MOST_PAUSE: Millis = Millis(1_600);

/// How an upstream has been doing lately, as seen from what became of requests.
///
/// Its own health check can be good while it fails a part of its requests; only their outcomes tell.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    failed: Decayed,
    answered: Decayed,
    misses: u32,
    paused_until: Millis,
}

impl Health {
    pub(super) fn answered(
        &mut self,
        now: Millis,
    ) {
        self.answered.add(1.0, now, HALF_LIFE);
        self.misses = 0;
        self.paused_until = Millis::ZERO;
    }

    pub(super) fn failed(
        &mut self,
        now: Millis,
    ) {
        self.failed.add(1.0, now, HALF_LIFE);
    }

    /// Notes that it wasn't reached or stayed silent: it gets nothing for a while.
    pub(super) fn missed(
        &mut self,
        now: Millis,
    ) {
        self.failed(now);
        let pause = Millis(FIRST_PAUSE.0 << self.misses.min(8)).min(MOST_PAUSE);
        self.misses += 1;
        self.paused_until = now + pause;
    }

    /// Whether it may get requests.
    pub(super) fn is_open(
        &self,
        now: Millis,
    ) -> bool {
        now >= self.paused_until
    }

    /// The share of its requests that it fails, from 0 to 1.
    pub(super) fn failing(
        &self,
        now: Millis,
    ) -> f64 {
        let failed = self.failed.get(now, HALF_LIFE);
        failed / (failed + self.answered.get(now, HALF_LIFE) + PRIOR)
    }
}
