use {
    super::{sim::World, workload::ACCOUNT_RATES},
    jasmine_core::{clock::Millis, error::Refusal, ids::AccountId, rights::Limit},
};

/// Mean answer length in tokens.
const MEAN_TOKENS: f64 = 60.0;
/// Factor of the limit above the usual rate.
const HEADROOM: f64 = 1.5;

/// Returns the rate limit of an account, in tokens per second.
pub fn account_limit(account: AccountId) -> Limit {
    let rate = (ACCOUNT_RATES[account.0 as usize] * MEAN_TOKENS * HEADROOM) as u64;
    Limit {
        rate,
        burst: (rate * 10).max(1000),
    }
}

/// A global token bucket of one account, the reference for refusals.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Millis,
}

impl TokenBucket {
    /// Creates a full bucket with the account's limits.
    pub fn new(account: AccountId) -> Self {
        let limit = account_limit(account);
        let burst = limit.burst as f64;
        Self {
            rate: limit.rate as f64,
            burst,
            tokens: burst,
            at: Millis::ZERO,
        }
    }

    /// Refills the bucket and returns whether it holds at least `tokens`.
    pub fn has_tokens(
        &mut self,
        tokens: u32,
        now: Millis,
    ) -> bool {
        let earned = self.rate * now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.burst);
        self.at = now;
        self.tokens >= f64::from(tokens)
    }

    /// Removes tokens from the bucket.
    pub fn take(
        &mut self,
        tokens: u32,
    ) {
        self.tokens -= f64::from(tokens);
    }

    /// Time until the bucket holds `tokens`.
    pub fn time_until(
        &self,
        tokens: u32,
    ) -> Millis {
        Millis(((f64::from(tokens) - self.tokens).max(0.0) / self.rate * 1000.0) as u64 + 1)
    }
}

impl World {
    /// Marks a request as admitted.
    pub fn admit(
        &mut self,
        id: usize,
    ) {
        self.awaiting_first_token.insert(id);
    }

    /// Marks a request as refused and schedules one retry if the refusal has a retry time.
    pub fn refuse(
        &mut self,
        id: usize,
        refusal: Refusal,
    ) {
        let arrival = self.arrivals[id];
        self.awaiting_first_token.remove(&id);
        self.outcomes[id].is_refused = true;
        if let (Some(secs), false) = (refusal.retry_after_secs(), arrival.is_retry) {
            let at = self.now + Millis::from_secs(secs);
            let again = super::workload::Arrival {
                at,
                is_retry: true,
                ..arrival
            };
            self.retries.entry(at).or_default().push(again);
        }
    }
}
