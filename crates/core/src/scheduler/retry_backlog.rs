use crate::clock::Millis;

/// The latest time that a rejected caller is told.
const MAX_DELAY: Millis = Millis::from_secs(60);

/// Tokens for which rejected callers of one account were told to come back, one after the other.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetryBacklog {
    /// Tokens of callers whose time is not there yet, as of `at`.
    tokens: f64,
    /// The same of callers whose time is later than they wait.
    beyond: f64,
    at: Millis,
}

impl RetryBacklog {
    /// The delay for a caller that needs `cost` tokens, which are there `earliest` from now if no
    /// other caller comes first; `per_ms` is the account's rate.
    ///
    /// A caller comes back within `longest` only: one that would be later gets a later time of its
    /// own, and isn't counted ahead of those that come.
    pub(super) fn delay(
        &mut self,
        cost: u64,
        earliest: Millis,
        longest: Millis,
        per_ms: f64,
        now: Millis,
    ) -> Millis {
        if per_ms <= 0.0 {
            return earliest;
        }
        let elapsed = now.since(self.at).0 as f64;
        self.tokens = (self.tokens - elapsed * per_ms).max(0.0);
        self.beyond = (self.beyond - elapsed * per_ms).max(0.0);
        self.at = self.at.max(now);
        let delay = earliest + Millis((self.tokens / per_ms) as u64);
        if delay <= longest {
            self.tokens += cost as f64;
            return delay;
        }
        let delay = delay + Millis((self.beyond / per_ms) as u64);
        self.beyond += cost as f64;
        delay.min(MAX_DELAY)
    }
}
