use {
    crate::{clock::Millis, decayed::Decayed, ids::AccountId},
    std::collections::BTreeMap,
};

/// Half-life of the recorded usage; longer than an election, so that it outlasts one.
const HALF_LIFE: Millis = Millis(3_000);
/// How long a VM may continue at its earlier rate without a scheduler; covers an election.
const GOES_ON: Millis = Millis(2_000);
/// The same for an account that was over its rate, whose demand exceeds its limit.
const GOES_ON_OVER: Millis = Millis(1_000);
/// Additional requests of average cost, for accounts that a VM sees only occasionally.
const REQUESTS_BESIDES: f64 = 1.5;
/// How long a rate-limited request is remembered, and the minimum interval between two allowances.
const LOOK_BACK: Millis = Millis(8_000);

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    tokens: Decayed,
    refused_at: Option<Millis>,
}

/// Recent usage of each account's rate by this VM's own callers.
///
/// Without a scheduler, each VM decides with an equal share of all rate limits. With many VMs, that
/// share is less than one request, and nearly all requests would be rejected during an election.
/// Recent usage of all VMs together was within every limit, so each VM may continue at its earlier
/// rate for the time of an election.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnUse {
    accounts: BTreeMap<AccountId, Use>,
    all_tokens: Decayed,
    all_requests: Decayed,
    allowed_at: Option<Millis>,
}

impl OwnUse {
    /// Records an admitted request.
    pub(super) fn note(
        &mut self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) {
        let tokens = cost as f64;
        let of_account = self.accounts.entry(account).or_default();
        of_account.tokens.add(tokens, now, HALF_LIFE);
        self.all_tokens.add(tokens, now, HALF_LIFE);
        self.all_requests.add(1.0, now, HALF_LIFE);
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
    /// At most once per [`LOOK_BACK`]: a VM that often loses its scheduler would otherwise exceed
    /// the limits.
    pub(super) fn begin_alone(
        &mut self,
        now: Millis,
    ) -> bool {
        let is_allowed = self.allowed_at.is_none_or(|at| now.since(at) >= LOOK_BACK);
        if is_allowed {
            self.allowed_at = Some(now);
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
        let sum_of_one = HALF_LIFE.0 as f64 / std::f64::consts::LN_2;
        let per_ms = known.tokens.get(now, HALF_LIFE) / sum_of_one;
        let is_over = known.refused_at.is_some_and(|at| now.since(at) < LOOK_BACK);
        let tokens = if is_over {
            per_ms * GOES_ON_OVER.0 as f64
        } else {
            per_ms * GOES_ON.0 as f64 + self.usual_cost(now) * REQUESTS_BESIDES
        };
        tokens as u64
    }

    fn usual_cost(
        &self,
        now: Millis,
    ) -> f64 {
        let requests = self.all_requests.get(now, HALF_LIFE);
        match self.all_tokens.get(now, HALF_LIFE) {
            tokens if requests > 0.0 => tokens / requests,
            _ => 0.0,
        }
    }
}
