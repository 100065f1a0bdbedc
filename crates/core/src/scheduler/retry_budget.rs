use {
    super::{RetryDecider, RetrySettings, StatedUpstream},
    crate::{clock::Millis, ids::ServiceId},
    std::collections::BTreeMap,
};

/// Number of buckets in the sliding window.
const BUCKETS: u64 = 10;
/// How late a sound upstream may read what it was sent: it may fall silent for a second or more.
///
/// Upstreams count an arrival then, in a window together with what is decided later.
const MAX_ARRIVAL_DELAY: Millis = Millis(2_000);
/// Share of the budget that the elected scheduler uses, in percent; the rest is for VMs that decide alone, and a takeover.
const SCHEDULER_PERCENT: f64 = 65.0;
/// The same in the first window after a takeover, as far as the attempts of before are not known.
const TAKEOVER_PERCENT: f64 = 12.0;
/// Share of the budget that all VMs in standalone mode use together, in percent; comes on top of
/// what a scheduler uses that some of them can't reach.
const STANDALONE_PERCENT: f64 = 10.0;

/// Attempts at one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// First attempts.
    pub requests: u32,
    /// Later attempts.
    pub retries: u32,
}

/// Attempts at one service within a short time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PastAttempts {
    /// The longest time since any of them, at most a bucket of the window more than the shortest.
    pub ago: Millis,
    /// How many.
    pub counts: AttemptCounts,
}

/// The attempts of one VM's callers in the last window, which it tells a new scheduler, and what
/// upstreams have stated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptHistory {
    /// How long the VM has counted, at most one window.
    pub counted_for: Millis,
    /// The attempts at each service.
    pub services: Vec<(ServiceId, PastAttempts)>,
    /// The upstreams that have stated something.
    pub stated: Vec<StatedUpstream>,
}

/// Who decides about retries, and so which part of the budget it may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RetryShare {
    /// The elected scheduler.
    Scheduler {
        /// The part of the last window's attempts that is known, from 0 to 1.
        known: f64,
    },
    /// One of this many VMs in standalone mode.
    Standalone { vms: u64 },
}

impl RetryShare {
    /// The part of the budget, in the log and in metrics.
    pub(super) const fn decider(self) -> RetryDecider {
        match self {
            Self::Scheduler { known } if known < 1.0 => RetryDecider::Successor,
            Self::Scheduler { .. } => RetryDecider::Leader,
            Self::Standalone { .. } => RetryDecider::Alone,
        }
    }
}

/// What a budget has counted, and how many retries it allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct BudgetState {
    pub counts: AttemptCounts,
    pub allowed: f64,
}

impl BudgetState {
    /// Whether a retry is left.
    pub(super) fn has_left(&self) -> bool {
        f64::from(self.counts.retries + 1) <= self.allowed
    }
}

/// Counts of attempts in a sliding window, by the beginnings of buckets.
#[derive(Clone, Debug, Default)]
pub(super) struct AttemptWindow {
    buckets: BTreeMap<Millis, AttemptCounts>,
}

impl AttemptWindow {
    /// Adds attempts at the time `at`, not later than `now`.
    pub(super) fn add(
        &mut self,
        counts: AttemptCounts,
        at: Millis,
        window: Millis,
        now: Millis,
    ) {
        self.expire(window, now);
        let length = bucket_time(window).0;
        let starts_at = Millis(at.0 / length * length);
        let bucket = self.buckets.entry(starts_at).or_default();
        bucket.requests += counts.requests;
        bucket.retries += counts.retries;
    }

    /// The requests in the window that ends at `now`, and the retries that may arrive in one with a retry of now.
    pub(super) fn total(
        &mut self,
        window: Millis,
        now: Millis,
    ) -> AttemptCounts {
        self.expire(window, now);
        let mut total = AttemptCounts::default();
        for (&at, counts) in &self.buckets {
            if now.since(at) < window {
                total.requests += counts.requests;
            }
            total.retries += counts.retries;
        }
        total
    }

    /// The attempts that count, with their ages.
    pub(super) fn past(
        &mut self,
        window: Millis,
        now: Millis,
    ) -> impl Iterator<Item = PastAttempts> {
        self.expire(window, now);
        self.buckets.iter().map(move |(&at, &counts)| PastAttempts {
            ago: now.since(at),
            counts,
        })
    }

    fn expire(
        &mut self,
        window: Millis,
        now: Millis,
    ) {
        let kept = window + bucket_time(window) + MAX_ARRIVAL_DELAY;
        self.buckets.retain(|&at, _| now.since(at) < kept);
    }
}

/// The time of one bucket.
fn bucket_time(window: Millis) -> Millis {
    Millis((window.0 / BUCKETS).max(1))
}

/// Retry budget of one service over all VMs, in a sliding window.
///
/// Without it, retries of failed requests would overload the upstreams that still work.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    /// Attempts that this scheduler has decided about, and those that VMs told it after a takeover.
    decided: AttemptWindow,
    /// Attempts of this VM's own callers, whoever decided about them.
    pub own: AttemptWindow,
    /// Retries that were granted and wait for an upstream; they count in the window from when they are sent.
    reserved: u32,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub(super) fn note_request(
        &mut self,
        settings: &RetrySettings,
        now: Millis,
    ) {
        let counts = AttemptCounts {
            requests: 1,
            retries: 0,
        };
        self.decided.add(counts, now, settings.window, now);
    }

    /// Adds attempts of before a takeover: requests as early and retries as late as they can have been sent.
    pub(super) fn add_history(
        &mut self,
        past: PastAttempts,
        settings: &RetrySettings,
        now: Millis,
    ) {
        let AttemptCounts { requests, retries } = past.counts;
        let earliest = now.since(past.ago);
        let latest = now.min(earliest + bucket_time(settings.window));
        let requests = AttemptCounts {
            requests,
            retries: 0,
        };
        let retries = AttemptCounts {
            requests: 0,
            retries,
        };
        self.decided.add(requests, earliest, settings.window, now);
        self.decided.add(retries, latest, settings.window, now);
    }

    /// Forgets the attempts that this scheduler has decided about.
    pub(super) fn restart(&mut self) {
        self.decided = AttemptWindow::default();
    }

    /// What is counted now, and how many retries a share of the budget allows.
    pub(super) fn state(
        &mut self,
        settings: &RetrySettings,
        share: RetryShare,
        now: Millis,
    ) -> BudgetState {
        let mut counts = self.decided.total(settings.window, now);
        counts.retries += self.reserved;
        let requests = counts.requests;
        let allowed = match share {
            RetryShare::Scheduler { known } => {
                let percent = TAKEOVER_PERCENT + (SCHEDULER_PERCENT - TAKEOVER_PERCENT) * known;
                (settings.ratio * f64::from(requests) + settings.slack) * percent / 100.0
            }
            RetryShare::Standalone { vms } => {
                let own = self.own.total(settings.window, now).requests.max(requests);
                let slack = settings.slack / vms.max(1) as f64;
                (settings.ratio * f64::from(own) + slack) * STANDALONE_PERCENT / 100.0
            }
        };
        BudgetState { counts, allowed }
    }

    /// Reserves a retry.
    pub(super) const fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Returns a reserved retry.
    pub(super) const fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records a retry that is sent.
    pub(super) fn note_retry(
        &mut self,
        settings: &RetrySettings,
        now: Millis,
    ) {
        let counts = AttemptCounts {
            requests: 0,
            retries: 1,
        };
        self.decided.add(counts, now, settings.window, now);
    }
}
