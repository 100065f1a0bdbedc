use {super::RetrySettings, crate::clock::Millis, std::collections::VecDeque};

/// Number of buckets in the sliding window.
const BUCKETS: u64 = 10;
/// Share of the budget to use, in percent.
///
/// Upstreams count an arrival later, possibly in another window.
const BUDGET_PERCENT: f64 = 70.0;
/// The same in the first window after a takeover: earlier schedulers may have used theirs.
const TAKEOVER_BUDGET_PERCENT: f64 = 20.0;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    starts_at: Millis,
    requests: u32,
    retries: u32,
}

/// Retry budget of one service over all VMs, in a sliding window.
///
/// Without it, retries of failed requests would overload the upstreams that still work.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    buckets: VecDeque<Bucket>,
    /// When this scheduler took over from a previous one.
    taken_over_at: Option<Millis>,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub(super) fn note_request(
        &mut self,
        settings: &RetrySettings,
        now: Millis,
    ) {
        self.bucket(settings, now).requests += 1;
    }

    /// The budget after a takeover, when earlier retries are unknown.
    pub(super) fn taken_over(at: Option<Millis>) -> Self {
        Self {
            taken_over_at: at,
            ..Self::default()
        }
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub(super) fn take(
        &mut self,
        settings: &RetrySettings,
        now: Millis,
    ) -> bool {
        self.bucket(settings, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = settings.ratio * f64::from(requests) + settings.slack;
        let is_after_takeover = self
            .taken_over_at
            .is_some_and(|at| now.since(at) < settings.window);
        let percent = if is_after_takeover {
            TAKEOVER_BUDGET_PERCENT
        } else {
            BUDGET_PERCENT
        };
        let has_left = f64::from(retries + 1) <= allowed * percent / 100.0;
        if has_left {
            self.bucket(settings, now).retries += 1;
        }
        has_left
    }

    /// The bucket for `now`; drops those outside the window.
    fn bucket(
        &mut self,
        settings: &RetrySettings,
        now: Millis,
    ) -> &mut Bucket {
        let length = (settings.window.0 / BUCKETS).max(1);
        let starts_at = Millis(now.0 / length * length);
        self.buckets
            .retain(|bucket| now.since(bucket.starts_at) < settings.window);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.starts_at < starts_at)
        {
            self.buckets.push_back(Bucket {
                starts_at,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
