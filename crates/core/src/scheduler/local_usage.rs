use {
    crate::{clock::Millis, decaying_sum::DecayingSum, ids::AccountId},
    std::collections::BTreeMap,
};

/// Half-life of the recorded usage; longer than an election, so that it outlasts one.
const HALF_LIFE: Millis = Millis(3_000);
/// How long a VM may continue at its earlier rate without a scheduler; covers an election.
///
/// An election takes 1.2 s, and what follows it a few hundred milliseconds.
const ALLOWANCE_DURATION: Millis = Millis(2_000);
/// How long a VM may continue at its earlier rate for an account that was over its limit.
///
/// Shorter, as its demand says nothing about what it may have.
const OVER_RATE_ALLOWANCE_DURATION: Millis = Millis(1_000);
/// Additional requests of average cost, for accounts that a VM sees only occasionally.
///
/// A VM sees some accounts once in 2 s: exactly what they used before would be less than one
/// request.
const EXTRA_REQUESTS: f64 = 1.5;
/// How long a rate-limited request is remembered, and the minimum interval between two allowances.
///
/// It is the time over which a limit is judged.
const LIMIT_WINDOW: Millis = Millis(8_000);

#[derive(Clone, Copy, Debug, Default)]
struct AccountUsage {
    tokens: DecayingSum,
    refused_at: Option<Millis>,
}

/// Recent usage of each account's rate by this VM's own callers.
///
/// Without a scheduler, each VM decides with an equal share of all rate limits. With many VMs, that
/// share is less than one request, and nearly all requests would be rejected during an election.
/// Recent usage of all VMs together was within every limit, so each VM may continue at its earlier
/// rate for the time of an election.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalUsage {
    accounts: BTreeMap<AccountId, AccountUsage>,
    total_tokens: DecayingSum,
    total_requests: DecayingSum,
    last_allowance_at: Option<Millis>,
}

impl LocalUsage {
    /// Records an admitted request.
    pub(super) fn note(
        &mut self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) {
        let tokens = cost as f64;
        let usage = self.accounts.entry(account).or_default();
        usage.tokens.add(tokens, now, HALF_LIFE);
        self.total_tokens.add(tokens, now, HALF_LIFE);
        self.total_requests.add(1.0, now, HALF_LIFE);
    }

    /// Records a rate-limited request.
    pub(super) fn note_refused(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        self.accounts.entry(account).or_default().refused_at = Some(now);
    }

    /// Starts deciding without a scheduler; returns whether earlier usage may be granted again.
    ///
    /// At most once per [`LIMIT_WINDOW`]: a VM that often loses its scheduler would otherwise exceed
    /// the limits.
    pub(super) fn begin_standalone(
        &mut self,
        now: Millis,
    ) -> bool {
        let is_allowed = self
            .last_allowance_at
            .is_none_or(|at| now.since(at) >= LIMIT_WINDOW);
        if is_allowed {
            self.last_allowance_at = Some(now);
        }
        is_allowed
    }

    /// Tokens that let an account continue at its earlier rate.
    pub(super) fn allowance(
        &self,
        account: AccountId,
        now: Millis,
    ) -> u64 {
        let known = self.accounts.get(&account).copied().unwrap_or_default();
        // The decayed sum of a constant rate of one token per millisecond.
        let unit_sum = HALF_LIFE.0 as f64 / std::f64::consts::LN_2;
        let per_ms = known.tokens.get(now, HALF_LIFE) / unit_sum;
        let is_over = known
            .refused_at
            .is_some_and(|at| now.since(at) < LIMIT_WINDOW);
        let tokens = if is_over {
            per_ms * OVER_RATE_ALLOWANCE_DURATION.0 as f64
        } else {
            per_ms * ALLOWANCE_DURATION.0 as f64 + self.mean_cost(now) * EXTRA_REQUESTS
        };
        tokens as u64
    }

    fn mean_cost(
        &self,
        now: Millis,
    ) -> f64 {
        let requests = self.total_requests.get(now, HALF_LIFE);
        match self.total_tokens.get(now, HALF_LIFE) {
            tokens if requests > 0.0 => tokens / requests,
            _ => 0.0,
        }
    }
}
