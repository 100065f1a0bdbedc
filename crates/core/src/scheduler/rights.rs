use {
    super::{Job, Work, own_use::OwnUse},
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, Epoch, Holder, Incarnation, Role, VmId},
        rights::{
            Admission, Charge, Claim, Limit, MILLI, Right, RightsLedger, RightsSettings,
            SHARE_WHOLE,
        },
    },
    std::collections::BTreeMap,
};

/// What a scheduler that takes over may assume to be unused of an account, in percent of the most that
/// the account may use in [`LOOK_BACK`]. The scheduler before may have used up everything at the last moment;
/// what is assumed on top of that has to stay within the tolerance of the limit.
const ASSUMED_PERCENT: u64 = 5;
/// How far ahead tokens are kept back for a caller that is over its rate. One that comes back later is late in any
/// case, and an account over its rate has others that could have been on time with the same tokens.
const PROMISED: Millis = Millis(600);
/// What all VMs together may assume so while each decides alone. With nothing at all a VM that has just started
/// refuses its first callers.
const ASSUMED_ALONE_PERCENT: u64 = 3;
/// The part of an account's burst that generations leave to calls, and the most that is: eight of the users' calls,
/// of which an account makes some two a second.
const CALLS_PART: u64 = 8;
const MOST_FOR_CALLS: u64 = 1_600;
/// For how long after a refusal an account counts as over its rate.
const OVER: Millis = Millis(3_000);
/// The time over which a limit is judged, in seconds.
const LOOK_BACK: u64 = 8;

/// Which part of all accounts' rates this scheduler may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RightsShare {
    /// All of it; nothing was used before.
    Fresh,
    /// All of it, taken over from another that is gone.
    TakenOver,
    /// One of so many even parts, while no scheduler answers.
    Part(u64),
}

/// The rates of all accounts, as far as this scheduler may use them.
#[derive(Debug)]
pub(super) struct AccountRates {
    ledger: RightsLedger,
    limits: BTreeMap<AccountId, Limit>,
    share: RightsShare,
    /// When a request of an account was last refused for its rate.
    refused_at: BTreeMap<AccountId, Millis>,
    own_use: OwnUse,
}

impl AccountRates {
    pub(super) fn new(share: RightsShare) -> Self {
        Self {
            ledger: new_ledger(),
            limits: BTreeMap::new(),
            share,
            refused_at: BTreeMap::new(),
            own_use: OwnUse::default(),
        }
    }

    /// Takes another share, with as few tokens as is safe.
    pub(super) fn set_share(
        &mut self,
        share: RightsShare,
        now: Millis,
    ) {
        let goes_on = matches!(share, RightsShare::Part(_)) && self.own_use.begin_alone(now);
        if self.share == share && !goes_on {
            return;
        }
        self.share = share;
        self.ledger = new_ledger();
        for (&account, &limit) in &self.limits {
            let besides = if goes_on {
                self.own_use.allowance(account, now)
            } else {
                0
            };
            self.ledger.set_limit(account, limit, now);
            grant(&mut self.ledger, account, limit, share, besides, now);
        }
    }

    /// Notes that a request of this VM's own callers was let through, whoever decided.
    pub(super) fn note_own_use(
        &mut self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) {
        self.own_use.note(account, cost, now);
    }

    /// Notes that one was refused because its account was over its rate.
    pub(super) fn note_own_refusal(
        &mut self,
        account: AccountId,
        now: Millis,
    ) {
        self.own_use.note_refused(account, now);
    }

    /// Sets the limits of all accounts that have one.
    pub(super) fn set_limits(
        &mut self,
        limits: BTreeMap<AccountId, Limit>,
        now: Millis,
    ) {
        for (&account, &limit) in &limits {
            let before = self.limits.get(&account);
            if before != Some(&limit) {
                self.ledger.set_limit(account, limit, now);
            }
            // An account that was without a limit for a while has its rights still: they are granted once.
            if before.is_none() {
                grant(&mut self.ledger, account, limit, self.share, 0, now);
            }
        }
        self.limits = limits;
    }

    /// Charges a request, or refuses it with when its tokens will have been earned.
    pub(super) fn admit(
        &mut self,
        job: &Job,
        now: Millis,
    ) -> Result<Option<Charge>, Refusal> {
        let Some(account) = job.account.filter(|id| self.limits.contains_key(id)) else {
            return Ok(None);
        };
        let admitted = self.try_admit(account, job, now);
        if admitted.is_err() {
            self.refused_at.insert(account, now);
        }
        admitted
    }

    fn try_admit(
        &mut self,
        account: AccountId,
        job: &Job,
        now: Millis,
    ) -> Result<Option<Charge>, Refusal> {
        let claim = match job.work {
            Work::Call => Claim::First,
            Work::Generation(_) => Claim::Leaving(self.left_to_calls(account, job.cost, now)),
        };
        let ledger = &mut self.ledger;
        match ledger.try_admit_as(claim, account, job.cost, job.caller, now) {
            Admission::Admitted(charge) => Ok(Some(charge)),
            // No refill will ever do for it; to its caller that is a rate that it is over all the same.
            Admission::Refused(refusal) if refusal.kind == ErrorKind::LargerThanBurst => {
                Err(Refusal::new(ErrorKind::RateLimited))
            }
            Admission::Refused(refusal) => Err(refusal),
            Admission::Ask { .. } => Err(self
                .ledger
                .refuse_after_ask(account, job.cost, job.caller, now)),
        }
    }

    /// Tokens that a generation leaves to its account's calls, while the account is over its rate.
    ///
    /// A call costs a tenth of a generation, and somebody waits for it at a counter. Without this an account whose
    /// generations use up its rate can't read a status either.
    fn left_to_calls(
        &self,
        account: AccountId,
        cost: u64,
        now: Millis,
    ) -> u64 {
        // A part of a rate is too little to keep some of it back.
        if matches!(self.share, RightsShare::Part(_)) {
            return 0;
        }
        let refused_at = self.refused_at.get(&account);
        if refused_at.is_none_or(|&at| now.since(at) >= OVER) {
            return 0;
        }
        let burst = self.limits.get(&account).map_or(0, |limit| limit.burst);
        (burst / CALLS_PART)
            .min(MOST_FOR_CALLS)
            .min(burst.saturating_sub(cost))
    }

    /// Settles a charge: what did not run is given back.
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
    // The ledger's transfers between holders stay unused: here one scheduler holds what there is.
    let me = Holder {
        vm: VmId(0),
        role: Role::Controller,
        incarnation: Incarnation(1),
    };
    let mut ledger = RightsLedger::new(
        me,
        RightsSettings {
            sharing: false,
            horizon: PROMISED,
            ..RightsSettings::default()
        },
    );
    ledger.enter_epoch(Epoch(1), Millis::ZERO);
    ledger
}

/// Grants an account's rights; `besides` are tokens on top of those that the share brings.
fn grant(
    ledger: &mut RightsLedger,
    account: AccountId,
    limit: Limit,
    share: RightsShare,
    besides: u64,
    now: Millis,
) {
    let part = match share {
        RightsShare::Fresh | RightsShare::TakenOver => SHARE_WHOLE,
        RightsShare::Part(parts) => SHARE_WHOLE / parts.max(1),
    };
    let most = limit.rate * LOOK_BACK + limit.burst;
    let tokens = match share {
        RightsShare::Fresh => limit.burst,
        RightsShare::TakenOver => (most * ASSUMED_PERCENT / 100).min(limit.burst),
        RightsShare::Part(parts) => most * ASSUMED_ALONE_PERCENT / 100 / parts.max(1) + besides,
    };
    let tokens = tokens.min(limit.burst);
    // Tokens need room, which is counted in parts of the burst.
    let room = SHARE_WHOLE * tokens / limit.burst.max(1);
    let right = Right {
        account,
        rate_share: part,
        room_share: part.max(room),
        tokens: tokens * MILLI,
    };
    ledger.apply_grants(Epoch(1), &[right], now);
}
