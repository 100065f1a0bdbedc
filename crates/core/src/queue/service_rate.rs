use crate::clock::Millis;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Millis = Millis(5000);

/// Decayed busy time below which the rate is unknown, in milliseconds.
const MIN_BUSY_MS: f64 = 500.0;

/// Decayed number of served requests below which the rate is unknown.
///
/// If all requests wait for adapters to load, the rate of other requests can't be estimated.
const MIN_SERVED_REQUESTS: f64 = 1.0;

/// The rate at which a queue is served, measured only while requests are waiting.
///
/// Idle time is excluded, because it doesn't show the available capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    /// Decayed sum of the served cost, in tokens.
    served: f64,
    /// Decayed number of served requests.
    requests: f64,
    /// Decayed busy time, in milliseconds.
    busy: f64,
    /// Start of the busy time not yet counted; `None` while the queue is empty.
    busy_since: Option<Millis>,
}

impl ServiceRate {
    /// Records that a request is waiting.
    pub fn record_waiting(
        &mut self,
        now: Millis,
    ) {
        self.busy_since.get_or_insert(now);
    }

    /// Records that a request of `cost` tokens was dequeued to run.
    pub fn record_served(
        &mut self,
        cost: u64,
        still_waiting: bool,
        now: Millis,
    ) {
        self.advance(now);
        self.served += cost as f64;
        self.requests += 1.0;
        self.busy_since = still_waiting.then_some(now);
    }

    /// Records that the queue became empty without a request being served.
    pub fn record_empty(
        &mut self,
        now: Millis,
    ) {
        self.advance(now);
        self.busy_since = None;
    }

    /// Tokens served per millisecond; `None` without enough samples.
    pub fn per_millisecond(
        &self,
        now: Millis,
    ) -> Option<f64> {
        let mut current = *self;
        current.advance(now);
        (current.busy >= MIN_BUSY_MS && current.requests >= MIN_SERVED_REQUESTS)
            .then(|| current.served / current.busy)
    }

    fn advance(
        &mut self,
        now: Millis,
    ) {
        let Some(since) = self.busy_since else {
            return;
        };
        let elapsed = now.since(since);
        let decay = (-(elapsed.0 as f64) / TIME_CONSTANT.0 as f64).exp();
        self.served *= decay;
        self.requests *= decay;
        self.busy = self.busy * decay + (1.0 - decay) * TIME_CONSTANT.0 as f64;
        self.busy_since = Some(since.max(now));
    }
}
