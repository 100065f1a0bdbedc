//! What VMs tell a scheduler that takes over about their callers' use of the account rates.

use {
    super::{account_rates::LIMIT_WINDOW_SECS, members::Members},
    crate::{clock::Millis, ids::AccountId, rights::Limit},
    std::collections::{BTreeMap, VecDeque},
};

/// Time over which a limit is judged.
pub(super) const RATE_WINDOW: Millis = Millis::from_secs(LIMIT_WINDOW_SECS);
/// Length of the buckets in which a VM counts, by which its message stays small.
const OWN_BUCKET: Millis = Millis(500);
/// Length of the buckets in which a scheduler adds up what VMs tell.
const SUM_BUCKET: Millis = Millis(100);

/// Tokens that were admitted within a short time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpentTokens {
    /// The least time since any of them was admitted.
    pub ago: Millis,
    /// How many.
    pub tokens: u64,
}

/// What one VM's callers have used of the account rates in the last window.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RateHistory {
    /// How long the VM has counted, at most one window.
    pub counted_for: Millis,
    /// The tokens admitted by any scheduler, refunds aside.
    pub accounts: Vec<(AccountId, Vec<SpentTokens>)>,
}

/// Counts what this VM's own callers use.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnSpending {
    since: Option<Millis>,
    /// By account, the beginnings of buckets and their tokens.
    accounts: BTreeMap<AccountId, VecDeque<(Millis, u64)>>,
}

impl OwnSpending {
    /// Begins to count, unless it has begun.
    pub(super) fn begin(
        &mut self,
        now: Millis,
    ) {
        self.since.get_or_insert(now);
    }

    /// Records an admitted request.
    pub(super) fn note(
        &mut self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) {
        self.begin(now);
        let begin = Millis(now.0 / OWN_BUCKET.0 * OWN_BUCKET.0);
        let buckets = self.accounts.entry(account).or_default();
        buckets.retain(|&(at, _)| is_in_window(at + OWN_BUCKET, now));
        match buckets.back_mut() {
            Some((at, tokens)) if *at >= begin => *tokens += cost,
            _ => buckets.push_back((begin, cost)),
        }
    }

    /// What was used in the last window.
    pub(super) fn history(
        &self,
        now: Millis,
    ) -> RateHistory {
        let since = self.since.unwrap_or(now);
        let spent = |buckets: &VecDeque<(Millis, u64)>| -> Vec<SpentTokens> {
            let ends = buckets
                .iter()
                .map(|&(at, tokens)| (at + OWN_BUCKET, tokens));
            ends.filter(|&(end, _)| is_in_window(end, now))
                .map(|(end, tokens)| SpentTokens {
                    ago: now.since(end),
                    tokens,
                })
                .collect()
        };
        let accounts = self.accounts.iter();
        RateHistory {
            counted_for: now.since(since).min(RATE_WINDOW),
            accounts: accounts
                .map(|(&account, buckets)| (account, spent(buckets)))
                .filter(|(_, spent)| !spent.is_empty())
                .collect(),
        }
    }
}

/// What VMs have told a scheduler that took over, and what it has admitted itself since.
#[derive(Clone, Debug)]
pub(super) struct TakenOverSpending {
    taken_over_at: Millis,
    /// Since when the VMs that have told theirs have counted.
    told: BTreeMap<u64, Millis>,
    /// By account, tokens by the latest time at which they can have been admitted.
    accounts: BTreeMap<AccountId, BTreeMap<Millis, u64>>,
}

impl TakenOverSpending {
    pub(super) const fn new(now: Millis) -> Self {
        Self {
            taken_over_at: now,
            told: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// Whether all of the last window was decided by this scheduler.
    pub(super) const fn is_over(
        &self,
        now: Millis,
    ) -> bool {
        !is_in_window(self.taken_over_at, now)
    }

    /// Adds what a VM tells; returns whether it is the first time.
    ///
    /// This scheduler has decided about its requests since then.
    pub(super) fn add(
        &mut self,
        vm: u64,
        history: &RateHistory,
        now: Millis,
    ) -> bool {
        if self.told.contains_key(&vm) {
            return false;
        }
        self.told.insert(vm, now.since(history.counted_for));
        for (account, spent) in &history.accounts {
            for &SpentTokens { ago, tokens } in spent {
                self.note(*account, tokens, now.since(ago));
            }
        }
        true
    }

    /// Records tokens that were admitted at the time `at` or earlier.
    pub(super) fn note(
        &mut self,
        account: AccountId,
        tokens: u64,
        at: Millis,
    ) {
        let end = Millis(at.0.div_ceil(SUM_BUCKET.0) * SUM_BUCKET.0);
        let sums = self.accounts.entry(account).or_default();
        let sum = sums.entry(end).or_default();
        *sum = sum.saturating_add(tokens);
    }

    /// Since when all that was admitted by any VM is known.
    ///
    /// A VM that left without telling admitted nothing afterwards; whatever it admitted before is unknown. Its share can't be guessed from
    /// those of the others: all of an account's callers may have been its own.
    pub(super) fn known_for(
        &self,
        members: &Members,
        now: Millis,
    ) -> Millis {
        let known_since = |(vm, left_at): (u64, Option<Millis>)| {
            let told = self.told.get(&vm).copied();
            told.or(left_at).unwrap_or(now)
        };
        let listed_since = members.listed_since().unwrap_or(now);
        let since = members.iter().map(known_since).max();
        let since = since.map_or(now, |since| since.max(listed_since));
        now.since(since).min(RATE_WINDOW)
    }

    /// The tokens that an account may use at once, so that it stays within its limit in any window.
    ///
    /// Before the time that is known, all that the limit bears counts as used.
    pub(super) fn level(
        &self,
        account: AccountId,
        limit: Limit,
        known_for: Millis,
        now: Millis,
    ) -> u64 {
        let earned = |time: Millis| limit.rate.saturating_mul(time.0) / 1_000;
        let mut level = limit.burst;
        let mut used = 0_u64;
        let mut used_while_known = 0;
        let sums = self.accounts.get(&account).into_iter().flatten().rev();
        for (&at, &tokens) in sums.take_while(|&(&at, _)| is_in_window(at, now)) {
            let ago = now.since(at);
            used = used.saturating_add(tokens);
            level = level.min(limit.burst.saturating_add(earned(ago)).saturating_sub(used));
            if ago < known_for {
                used_while_known = used;
            }
        }
        if known_for < RATE_WINDOW {
            level = level.min(earned(known_for).saturating_sub(used_while_known));
        }
        level
    }
}

const fn is_in_window(
    at: Millis,
    now: Millis,
) -> bool {
    now.since(at).0 < RATE_WINDOW.0
}
