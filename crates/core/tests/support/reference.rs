use jasmine_core::{clock::Millis, ids::AccountId, rights::Limit};

/// What one request used, as an engine would have recorded it.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    pub account: AccountId,
    pub at: Millis,
    pub charged: u64,
    /// What it really uses.
    pub uses: u64,
    pub finished: bool,
}

impl Used {
    /// What counts: of a request that nobody settled, all that was charged.
    fn tokens(&self) -> u64 {
        if self.finished {
            self.uses
        } else {
            self.charged
        }
    }
}

/// The whole account's token bucket, filled from what was used and not from any ledger.
///
/// It stays at or above zero exactly if in every window at most `burst + rate * window` was used.
#[derive(Clone, Copy, Debug)]
pub struct Reference {
    limit: Limit,
    level: i128,
    at: Millis,
}

impl Reference {
    /// A full bucket.
    pub fn new(limit: Limit) -> Self {
        Self {
            limit,
            level: i128::from(limit.burst_milli()),
            at: Millis::ZERO,
        }
    }

    /// Changes the limit; the largest in force on any VM counts.
    pub fn set_limit(
        &mut self,
        limit: Limit,
        now: Millis,
    ) {
        self.advance(now);
        self.limit = limit;
        self.advance(now);
    }

    /// Takes what was used; whether it was within the limit.
    pub fn take(
        &mut self,
        used: &Used,
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
        self.level = (self.level + earned).min(i128::from(self.limit.burst_milli()));
        self.at = now;
    }
}
