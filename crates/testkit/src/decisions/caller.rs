use {
    super::{load::RATES, sim::World},
    jasmine_core::{clock::Millis, error::Refusal, ids::AccountId, rights::Limit},
};

/// Tokens of a mean answer, and the room that operators left above the usual rate.
const MEAN_TOKENS: f64 = 60.0;
const HEADROOM: f64 = 1.5;

/// The limits of an account.
pub fn limit(account: AccountId) -> Limit {
    let rate = (RATES[account.0 as usize] * MEAN_TOKENS * HEADROOM) as u64;
    Limit {
        rate,
        burst: (rate * 10).max(1000),
    }
}

/// A bucket of tokens for a whole account: the measure of what may be refused.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    at: Millis,
}

impl Bucket {
    /// A full bucket of an account's limits.
    pub fn new(account: AccountId) -> Self {
        let limit = limit(account);
        let burst = limit.burst as f64;
        Self {
            rate: limit.rate as f64,
            burst,
            tokens: burst,
            at: Millis::ZERO,
        }
    }

    /// Whether it has so many tokens now.
    pub fn has(
        &mut self,
        tokens: u32,
        now: Millis,
    ) -> bool {
        let earned = self.rate * now.since(self.at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.burst);
        self.at = now;
        self.tokens >= f64::from(tokens)
    }

    /// Takes tokens out.
    pub fn take(
        &mut self,
        tokens: u32,
    ) {
        self.tokens -= f64::from(tokens);
    }

    /// When it will have so many tokens.
    pub fn time_until(
        &self,
        tokens: u32,
    ) -> Millis {
        Millis(((f64::from(tokens) - self.tokens).max(0.0) / self.rate * 1000.0) as u64 + 1)
    }
}

impl World {
    /// The request may run.
    pub fn admit(
        &mut self,
        id: usize,
    ) {
        self.pending.insert(id);
    }

    /// The request is refused; its caller comes back once if told when.
    pub fn refuse(
        &mut self,
        id: usize,
        refusal: Refusal,
    ) {
        let arrival = self.arrivals[id];
        self.pending.remove(&id);
        self.outcomes[id].refused = true;
        if let (Some(secs), false) = (refusal.retry_after_secs(), arrival.returned) {
            let at = self.now + Millis::from_secs(secs);
            let again = super::load::Arrival {
                at,
                returned: true,
                ..arrival
            };
            self.back.entry(at).or_default().push(again);
        }
    }
}
