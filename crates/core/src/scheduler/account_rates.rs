use {
    super::{
        Job, Work,
        local_usage::LocalUsage,
        members::Members,
        rate_history::{OwnSpending, RateHistory, TakenOverSpending},
        retry_backlog::RetryBacklog,
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, Epoch, Holder, Incarnation, Role, VmId},
        rights::{
            Admission, Charge, FULL_SHARE, Limit, MILLITOKENS_PER_TOKEN, ReservedTokens, Right,
            RightsLedger, RightsSettings,
        },
    },
    std::collections::BTreeMap,
};

/// Initial grant of a scheduler that takes over, in percent of the limit over the window.
///
/// The previous scheduler may have used everything, so this has to stay within the limit's
/// tolerance. More is granted once all VMs have told what their callers used.
const TAKEOVER_GRANT_PERCENT: u64 = 5;
/// How far ahead tokens are reserved for a rate-limited caller that is told when to retry.
///
/// One that comes back later is late in any case, and its account has other requests that could be
/// on time with the same tokens.
const RESERVATION_HORIZON: Millis = Millis(600);
/// Initial grant of all VMs together without a scheduler, in percent of the limit over the window.
///
/// Zero would make a VM that has just started reject its first requests.
const STANDALONE_GRANT_PERCENT: u64 = 3;
/// After a rejection, generations leave the burst divided by this to calls, which are cheap.
const CALL_RESERVE_DIVISOR: u64 = 8;
/// Upper bound of the tokens that generations leave for calls.
///
/// Eight of the users' calls, of which an account makes some two a second.
const MAX_CALL_RESERVE: u64 = 1_600;
/// How long an account counts as over its rate after a rejection.
const OVER_RATE_TIMEOUT: Millis = Millis(3_000);
/// Time over which a limit is enforced, in seconds.
pub(super) const LIMIT_WINDOW_SECS: u64 = 8;

/// Share of all accounts' rate limits that this scheduler may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateShare {
    /// The whole limit; nothing has been used yet.
    Fresh,
    /// The whole limit, taken over from a previous scheduler.
    TakenOver,
    /// One of this many equal shares, while there is no scheduler.
    Part(u64),
}

/// Rate limiter for all accounts, within this scheduler's share.
#[derive(Debug)]
pub(super) struct AccountRates {
    ledger: RightsLedger,
    limits: BTreeMap<AccountId, Limit>,
    share: RateShare,
    /// When a request of each account was last rate-limited.
    refused_at: BTreeMap<AccountId, Millis>,
    /// What rejected callers of each account were told to come back for, beyond reservations.
    retry_backlogs: BTreeMap<AccountId, RetryBacklog>,
    local_usage: LocalUsage,
    own_spending: OwnSpending,
    /// What is known of the time before, if this scheduler took over from another one.
    taken_over: Option<TakenOverSpending>,
}

impl AccountRates {
    pub(super) fn new(share: RateShare) -> Self {
        Self {
            ledger: new_ledger(),
            limits: BTreeMap::new(),
            share,
            refused_at: BTreeMap::new(),
            retry_backlogs: BTreeMap::new(),
            local_usage: LocalUsage::default(),
            own_spending: OwnSpending::default(),
            taken_over: None,
        }
    }

    /// The share of the limits that this scheduler may use.
    pub(super) const fn share(&self) -> RateShare {
        self.share
    }

    /// Changes the share and restarts with the tokens that are safe to grant.
    pub(super) fn set_share(
        &mut self,
        share: RateShare,
        now: Millis,
    ) {
        self.own_spending.begin(now);
        let has_allowance =
            matches!(share, RateShare::Part(_)) && self.local_usage.begin_standalone(now);
        if self.share == share && !has_allowance {
            return;
        }
        self.share = share;
        self.taken_over = (share == RateShare::TakenOver).then(|| TakenOverSpending::new(now));
        self.ledger = new_ledger();
        for (&account, &limit) in &self.limits {
            let extra_tokens = if has_allowance {
                self.local_usage.allowance(account, now)
            } else {
                0
            };
            self.ledger.set_limit(account, limit, now);
            grant(&mut self.ledger, account, limit, share, extra_tokens, now);
        }
    }

    /// Records a request of this VM's own callers that was admitted by any scheduler.
    pub(super) fn note_local_admission(
        &mut self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) {
        self.local_usage.note(account, cost, now);
        self.own_spending.note(account, cost, now);
    }

    /// What this VM's own callers have used, for a new scheduler.
    pub(super) fn history(
        &self,
        now: Millis,
    ) -> RateHistory {
        let mut history = self.own_spending.history(now);
        let limits = &self.limits;
        history.accounts.retain(|(id, _)| limits.contains_key(id));
        history
    }

    /// Adds what a VM's callers have used before this scheduler took over.
    pub(super) fn add_history(
        &mut self,
        vm: u64,
        history: &RateHistory,
        members: &Members,
        now: Millis,
    ) {
        let taken_over = self.taken_over.as_mut();
        if taken_over.is_some_and(|spending| spending.add(vm, history, now)) {
            self.raise_to_known_level(members, now);
        }
    }

    /// Grants what is left of the limits after a takeover, as far as it is known.
    fn raise_to_known_level(
        &mut self,
        members: &Members,
        now: Millis,
    ) {
        let Some(spending) = &self.taken_over else {
            return;
        };
        let known_for = spending.known_for(members, now);
        for (&account, &limit) in &self.limits {
            let tokens = spending.level(account, limit, known_for, now);
            let millitokens = tokens.saturating_mul(MILLITOKENS_PER_TOKEN);
            self.ledger.raise_tokens(account, millitokens, now);
        }
    }

    /// Records a request of this VM's own callers that was rate-limited by any scheduler.
    pub(super) fn note_local_rejection(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        self.local_usage.note_refused(account, now);
    }

    /// Replaces the limits; accounts without an entry are unlimited.
    pub(super) fn set_limits(
        &mut self,
        limits: BTreeMap<AccountId, Limit>,
        now: Millis,
    ) {
        self.own_spending.begin(now);
        for (&account, &limit) in &limits {
            let before = self.limits.get(&account);
            if before != Some(&limit) {
                self.ledger.set_limit(account, limit, now);
            }
            // The ledger ignores a second grant to an account that had a limit before.
            if before.is_none() {
                grant(&mut self.ledger, account, limit, self.share, 0, now);
            }
        }
        self.retry_backlogs
            .retain(|account, _| limits.contains_key(account));
        self.limits = limits;
    }

    /// Charges a request, or rejects it with the time when its tokens will be available.
    ///
    /// With `has_own_times`, each rejected caller for which none are reserved gets a later time than
    /// the one before it.
    pub(super) fn admit(
        &mut self,
        job: &Job,
        has_own_times: bool,
        now: Millis,
    ) -> Result<Option<Charge>, Refusal> {
        let Some(account) = job.account.filter(|id| self.limits.contains_key(id)) else {
            return Ok(None);
        };
        self.taken_over.take_if(|spending| spending.is_over(now));
        let mut admitted = self.try_admit(account, job, now);
        if let (true, Err(refusal)) = (has_own_times, &mut admitted) {
            self.spread_retry(account, job, refusal, now);
        }
        match (&admitted, &mut self.taken_over) {
            (Err(_), _) => {
                self.refused_at.insert(account, now);
            }
            (Ok(_), Some(spending)) => spending.note(account, job.cost, now),
            (Ok(_), None) => {}
        }
        admitted
    }

    /// Gives a rejected caller a time of its own, by what the account's rate refills.
    ///
    /// Callers whose tokens are reserved have one already. Others would all be told when the
    /// tokens of the first of them are there.
    fn spread_retry(
        &mut self,
        account: AccountId,
        job: &Job,
        refusal: &mut Refusal,
        now: Millis,
    ) {
        let Some(earliest) = refusal
            .retry_after
            .filter(|&delay| delay > RESERVATION_HORIZON)
        else {
            return;
        };
        let Some(limit) = self.limits.get(&account) else {
            return;
        };
        let parts = match self.share {
            RateShare::Part(parts) => parts.max(1),
            RateShare::Fresh | RateShare::TakenOver => 1,
        };
        let per_ms = limit.rate as f64 / parts as f64 / 1_000.0;
        let longest = Millis(job.deadline.since(now).0 / 3);
        let backlog = self.retry_backlogs.entry(account).or_default();
        refusal.retry_after = Some(backlog.delay(job.cost, earliest, longest, per_ms, now));
    }

    fn try_admit(
        &mut self,
        account: AccountId,
        job: &Job,
        now: Millis,
    ) -> Result<Option<Charge>, Refusal> {
        let claim = match job.work {
            Work::Call => ReservedTokens::Use,
            Work::Generation(_) => ReservedTokens::Keep(self.call_reserve(account, job.cost, now)),
        };
        let ledger = &mut self.ledger;
        match ledger.try_admit_with(claim, account, job.cost, job.caller, now) {
            Admission::Admitted(charge) => Ok(Some(charge)),
            // The cost exceeds the burst, so no refill is enough; reported as a rate limit.
            Admission::Refused(refusal) if refusal.kind == ErrorKind::LargerThanBurst => {
                Err(Refusal::new(ErrorKind::RateLimited))
            }
            Admission::Refused(refusal) => Err(refusal),
            Admission::NeedsRights { .. } => Err(self
                .ledger
                .refuse_with_retry(account, job.cost, job.caller, now)),
        }
    }

    /// Tokens that a generation must leave for calls while its account is over its rate.
    ///
    /// Calls are cheap and interactive. Without this, an account whose generations use up its rate
    /// can't read a status either.
    fn call_reserve(
        &self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) -> u64 {
        // A fractional share is too small to reserve tokens.
        if matches!(self.share, RateShare::Part(_)) {
            return 0;
        }
        let refused_at = self.refused_at.get(&account);
        if refused_at.is_none_or(|&at| now.since(at) >= OVER_RATE_TIMEOUT) {
            return 0;
        }
        let burst = self.limits.get(&account).map_or(0, |limit| limit.burst);
        (burst / CALL_RESERVE_DIVISOR)
            .min(MAX_CALL_RESERVE)
            .min(burst.saturating_sub(cost))
    }

    /// Settles a charge; it is refunded if the request did not run.
    pub(super) fn settle(
        &mut self,
        charge: Charge,
        has_run: bool,
        now: Millis,
    ) {
        let actual = if has_run { charge.tokens } else { 0 };
        self.ledger.settle(charge, actual, now);
    }
}

fn new_ledger() -> RightsLedger {
    // Transfers between holders are unused: this ledger has a single holder.
    let holder = Holder {
        vm: VmId(0),
        role: Role::Controller,
        incarnation: Incarnation(1),
    };
    let mut ledger = RightsLedger::new(
        holder,
        RightsSettings {
            sharing: false,
            max_reservation_delay: RESERVATION_HORIZON,
            ..RightsSettings::default()
        },
    );
    ledger.enter_epoch(Epoch(1), Millis::ZERO);
    ledger
}

/// Grants an account's rate share; `extra_tokens` is added to the tokens granted at once.
fn grant(
    ledger: &mut RightsLedger,
    account: AccountId,
    limit: Limit,
    share: RateShare,
    extra_tokens: u64,
    now: Millis,
) {
    let part = match share {
        RateShare::Fresh | RateShare::TakenOver => FULL_SHARE,
        RateShare::Part(parts) => FULL_SHARE / parts.max(1),
    };
    let max_usage = limit.rate * LIMIT_WINDOW_SECS + limit.burst;
    let tokens = match share {
        RateShare::Fresh => limit.burst,
        RateShare::TakenOver => (max_usage * TAKEOVER_GRANT_PERCENT / 100).min(limit.burst),
        RateShare::Part(parts) => {
            max_usage * STANDALONE_GRANT_PERCENT / 100 / parts.max(1) + extra_tokens
        }
    };
    let tokens = tokens.min(limit.burst);
    // Tokens need room, which is expressed as a share of the burst.
    let room = FULL_SHARE * tokens / limit.burst.max(1);
    let right = Right {
        account,
        rate_share: part,
        burst_share: part.max(room),
        tokens: tokens * MILLITOKENS_PER_TOKEN,
    };
    ledger.apply_grants(Epoch(1), &[right], now);
}
