use crate::clock::Millis;

/// How long the past counts.
const MEMORY: Millis = Millis(5000);

/// Nothing is said about the rate before this much busy time has been seen, in milliseconds.
const LEAST_BUSY: f64 = 500.0;

/// Nor while fewer requests than this have been served lately: all that waits may wait for an adapter
/// to load, and that says nothing about how fast others would be served.
const LEAST_SERVED: f64 = 1.0;

/// The rate at which the queue is being emptied, observed only while something waits.
///
/// Idle time tells nothing about what could be served and is left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceRate {
    /// Cost served, faded.
    served: f64,
    /// Requests served, faded in the same way.
    requests: f64,
    /// Busy milliseconds, faded in the same way.
    busy: f64,
    /// Since when the queue has not been empty; none while it is.
    busy_since: Option<Millis>,
}

impl ServiceRate {
    /// Notes that something waits.
    pub fn note_waiting(
        &mut self,
        now: Millis,
    ) {
        self.busy_since.get_or_insert(now);
    }

    /// Notes that a request of `cost` left to be run.
    pub fn note_served(
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

    /// Notes that the queue has emptied without anything being served.
    pub fn note_empty(
        &mut self,
        now: Millis,
    ) {
        self.advance(now);
        self.busy_since = None;
    }

    /// Cost served in a millisecond, or none before enough has been seen.
    pub fn per_millisecond(
        &self,
        now: Millis,
    ) -> Option<f64> {
        let mut seen = *self;
        seen.advance(now);
        (seen.busy >= LEAST_BUSY && seen.requests >= LEAST_SERVED).then(|| seen.served / seen.busy)
    }

    fn advance(
        &mut self,
        now: Millis,
    ) {
        let Some(since) = self.busy_since else {
            return;
        };
        let elapsed = now.since(since);
        let fade = (-(elapsed.0 as f64) / MEMORY.0 as f64).exp();
        self.served *= fade;
        self.requests *= fade;
        self.busy = self.busy * fade + (1.0 - fade) * MEMORY.0 as f64;
        self.busy_since = Some(since.max(now));
    }
}
