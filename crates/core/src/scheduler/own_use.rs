use {
    crate::{clock::Millis, decayed::Decayed, ids::AccountId},
    std::collections::BTreeMap,
};

/// How fast what was used is forgotten: half of it in the time in which a new scheduler is found three times over.
const HALF_LIFE: Millis = Millis(3_000);
/// For how long a VM may go on as before when nobody decides for all. An election takes 1.2 s and what follows it a few
/// hundred milliseconds.
const GOES_ON: Millis = Millis(2_000);
/// The same for an account that was over its rate lately: its demand says nothing about what it may have.
const GOES_ON_OVER: Millis = Millis(1_000);
/// Requests of the usual size that an account may have besides. A VM sees some accounts once in two seconds; exactly
/// what they used before would be less than one request.
const REQUESTS_BESIDES: f64 = 1.5;
/// How long a refusal for its rate is remembered of an account, and how far apart two such allowances are: the time
/// over which a limit is judged.
const LOOK_BACK: Millis = Millis(8_000);

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    tokens: Decayed,
    refused_at: Option<Millis>,
}

/// What this VM's own callers had lately of each account's rate, whoever decided.
///
/// When the scheduler is gone, each VM decides alone with its part of all rates. Parts that are all alike are less than
/// one request each where there are eighty VMs and sixteen accounts, so nearly everybody was refused until another
/// scheduler was found, though no account asked for more than before. What all VMs together had in the last seconds was
/// within every limit, so each may go on as it did for as long as an election takes.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnUse {
    accounts: BTreeMap<AccountId, Use>,
    all_tokens: Decayed,
    all_requests: Decayed,
    allowed_at: Option<Millis>,
}

impl OwnUse {
    /// Notes that a request of this VM's callers was let through.
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

    /// Notes that one was refused because the account was over its rate.
    pub(super) fn note_refused(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        self.accounts.entry(account).or_default().refused_at = Some(now);
    }

    /// Begins a time alone; whether what was used before may be used again. Once in the time over which a limit is judged:
    /// a VM that loses its scheduler again and again would otherwise have it each time.
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

    /// Tokens with which an account can go on as before.
    pub(super) fn allowance(
        &self,
        account: AccountId,
        now: Millis,
    ) -> u64 {
        let known = self.accounts.get(&account).copied().unwrap_or_default();
        // Of an even use of so many tokens a millisecond the decayed sum is this many times as much.
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
