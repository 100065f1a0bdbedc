use jasmine_core::{clock::Millis, ids::AccountId, rights::Limit};

/// The usage of one request, as recorded by the engine.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub account: AccountId,
    pub at: Millis,
    pub charged: u64,
    /// Actual usage in tokens.
    pub actual_tokens: u64,
    pub finished: bool,
}

impl Usage {
    /// The tokens that count: the actual usage, or the charge while the request is running.
    fn tokens(&self) -> u64 {
        if self.finished {
            self.actual_tokens
        } else {
            self.charged
        }
    }
}

/// Reference token bucket of an account, computed from the usage records.
///
/// Its level is negative exactly if some window's usage exceeds `burst + rate * window`.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    limit: Limit,
    level: i128,
    at: Millis,
}

impl Reference {
    /// Creates a full bucket.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            level: i128::from(limit.burst_millitokens()),
            at: Millis::ZERO,
        }
    }

    /// Sets the limit to the largest on any VM.
    pub fn set_limit(
        &mut self,
        limit: Limit,
        now: Millis,
    ) {
        self.advance(now);
        self.limit = limit;
        self.advance(now);
    }

    /// Subtracts a usage, and returns whether it is within the limit.
    pub fn take(
        &mut self,
        used: &Usage,
    ) -> bool {
        self.advance(used.at);
        self.level -= i128::from(used.tokens()) * 1000;
        self.level >= 0
    }

    fn advance(
        &mut self,
        now: Millis,
    ) {
        let earned = i128::from(now.since(self.at).0) * i128::from(self.limit.rate);
        self.level = (self.level + earned).min(i128::from(self.limit.burst_millitokens()));
        self.at = now;
    }
}
