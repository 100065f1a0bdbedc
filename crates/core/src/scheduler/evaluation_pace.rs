use {
    super::{queued_adapters::QueuedAdapters, running::TrackedRequest},
    crate::clock::Millis,
};

/// Bound on the evaluations per millisecond of queued requests that can be on time; sets the interval at which each is
/// evaluated.
///
/// When few requests wait, each is evaluated after every event; when hundreds do, every few ten milliseconds.
const MAX_EVALUATIONS_PER_MS: usize = 3;
/// The same for late requests, which must not delay the evaluation of the others: a scheduler with a long queue would make
/// all of them late.
const MAX_LATE_EVALUATIONS_PER_MS: usize = 1;
/// Minimum time between two evaluations of a queued request; short compared with the loads it usually waits for.
///
/// Those take 25 or 250 ms. At 850 requests a second and 140 engines it saves a third of the evaluations (6.5 a request in
/// place of 10.4), with as many first tokens in time.
const MIN_DELAY: Millis = Millis(10);
/// Up to this many late requests are evaluated after each report of an engine.
const FEW_LATE_REQUESTS: usize = 48;

/// How often queued requests are evaluated.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvaluationPace {
    on_time_interval: Millis,
    late_interval: Millis,
    late_len: usize,
    /// Counts what calls for an evaluation of all but late requests.
    epoch: u64,
}

impl EvaluationPace {
    /// The pace for so many queued requests, of which so many can be on time.
    pub(super) fn new(
        queued: usize,
        on_time: usize,
        epoch: u64,
    ) -> Self {
        let late_len = queued.saturating_sub(on_time);
        Self {
            on_time_interval: interval(on_time, MAX_EVALUATIONS_PER_MS),
            late_interval: interval(late_len, MAX_LATE_EVALUATIONS_PER_MS),
            late_len,
            epoch,
        }
    }

    /// Time between two evaluations by engines' reports of so many queued requests.
    pub(super) const fn report_interval(queued: usize) -> Millis {
        Millis((queued / MAX_EVALUATIONS_PER_MS) as u64)
    }

    /// Time until a request is evaluated again.
    pub(super) const fn next(
        self,
        is_on_time: bool,
    ) -> Millis {
        if is_on_time {
            self.on_time_interval
        } else {
            self.late_interval
        }
    }

    /// Whether a request was evaluated a short time before, and nothing calls for another evaluation.
    ///
    /// A load that has ended does: its adapter keeps a slot until the request is sent.
    pub(super) fn is_deferred(
        self,
        entry: &TrackedRequest,
        is_on_time: bool,
        queued_adapters: &QueuedAdapters,
        now: Millis,
    ) -> bool {
        let is_deferred = if is_on_time || self.late_len <= FEW_LATE_REQUESTS {
            entry.is_deferred(self.epoch, now)
        } else {
            now < entry.evaluate_at
        };
        is_deferred && !queued_adapters.is_newly_loaded(&entry.job, entry.evaluated_at, now)
    }
}

/// Time between two evaluations of each of `queued` requests.
fn interval(
    queued: usize,
    per_ms: usize,
) -> Millis {
    Millis((queued / per_ms) as u64).max(MIN_DELAY)
}
