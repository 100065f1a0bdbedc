use {
    super::{
        Admission, Ask, CallerTag, Charge, Claim, Given, Limit, MILLI, Right, RightsSettings,
        TakeRequest,
        account_rights::AccountRights,
        pending_asks::PendingAsks,
        transfer_log::{Seen, TransferLog},
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, Epoch, Holder, TransferId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// What one holder has of the rights to all accounts.
///
/// The daemon asks [`Self::try_admit`] for each request. On [`Admission::Ask`] it sends what
/// [`Self::whom_to_ask`] returns, hands the answers to [`Self::receive`] and tries again; when
/// nobody is left to ask or the wait grows too long it takes [`Self::refuse_after_ask`].
#[derive(Clone, Debug)]
pub struct RightsLedger {
    me: Holder,
    settings: RightsSettings,
    epoch: Option<Epoch>,
    /// What was held on entering the epoch.
    entered_with: Vec<Right>,
    /// Accounts whose grant of this epoch has been added.
    granted: BTreeSet<AccountId>,
    closed: bool,
    accounts: BTreeMap<AccountId, AccountRights>,
    peers: Vec<Holder>,
    pending: PendingAsks,
    given: TransferLog,
}

impl RightsLedger {
    /// A holder that has nothing yet.
    pub fn new(
        me: Holder,
        settings: RightsSettings,
    ) -> Self {
        Self {
            me,
            settings,
            epoch: None,
            entered_with: Vec::new(),
            granted: BTreeSet::new(),
            closed: false,
            accounts: BTreeMap::new(),
            peers: Vec::new(),
            pending: PendingAsks::default(),
            given: TransferLog::default(),
        }
    }

    /// Sets the peers that may be asked: the other holders of the same role that can be reached.
    pub fn set_peers(
        &mut self,
        peers: impl IntoIterator<Item = Holder>,
    ) {
        let peers: Vec<Holder> = peers.into_iter().filter(|&peer| peer != self.me).collect();
        if peers == self.peers {
            return;
        }
        self.peers = peers;
        self.pending.keep_peers(&self.peers);
        for account in self.accounts.values_mut() {
            account.peers.clear();
        }
    }

    /// Sets an account's limit; a lower burst cuts the tokens down at once.
    pub fn set_limit(
        &mut self,
        account: AccountId,
        limit: Limit,
        now: Millis,
    ) {
        let rights = self.accounts.entry(account).or_default();
        rights.bucket.set_limit(limit, now);
    }

    /// Forgets an account that no longer exists; its number is never used again.
    pub fn remove(
        &mut self,
        account: AccountId,
    ) {
        self.accounts.remove(&account);
        self.pending.remove_account(account);
    }

    /// Admits a request of `cost` tokens, or says what has to be done first.
    pub fn try_admit(
        &mut self,
        account: AccountId,
        cost: u64,
        caller: CallerTag,
        now: Millis,
    ) -> Admission {
        self.try_admit_as(Claim::Leaving(0), account, cost, caller, now)
    }

    /// The same for a request that comes before or after others of its account.
    pub fn try_admit_as(
        &mut self,
        claim: Claim,
        account: AccountId,
        cost: u64,
        caller: CallerTag,
        now: Millis,
    ) -> Admission {
        if self.closed {
            return Admission::Refused(Refusal::new(ErrorKind::ShuttingDown));
        }
        let Some(rights) = self.accounts.get_mut(&account) else {
            return Admission::Refused(Refusal::new(ErrorKind::RateLimited));
        };
        rights.advance(&self.settings, now);
        let milli = cost.saturating_mul(MILLI);
        if milli > rights.burst() {
            return Admission::Refused(Refusal::new(ErrorKind::LargerThanBurst));
        }
        let kept_back = match claim {
            Claim::First => 0,
            Claim::Leaving(tokens) => rights
                .reserved_before(caller)
                .saturating_add(tokens.saturating_mul(MILLI)),
        };
        let wanted = milli.saturating_add(kept_back);
        let tokens = rights.bucket.tokens();
        let number = (tokens >= wanted)
            .then(|| rights.bucket.charge(milli))
            .flatten();
        match number {
            Some(number) => {
                rights.promises.end(caller);
                rights.demand.note(milli, now);
                Admission::Admitted(Charge {
                    account,
                    number,
                    tokens: cost,
                })
            }
            None if self.may_ask_for(account, now) => Admission::Ask {
                shortfall: wanted - tokens,
            },
            None => Admission::Refused(self.refuse_after_ask(account, cost, caller, now)),
        }
    }

    /// Refuses a request, promises when it will be served and keeps tokens back for that time.
    pub fn refuse_after_ask(
        &mut self,
        account: AccountId,
        cost: u64,
        caller: CallerTag,
        now: Millis,
    ) -> Refusal {
        let Some(rights) = self.accounts.get_mut(&account) else {
            return Refusal::new(ErrorKind::RateLimited);
        };
        let milli = cost.saturating_mul(MILLI);
        if milli > rights.burst() {
            return Refusal::new(ErrorKind::LargerThanBurst);
        }
        rights.advance(&self.settings, now);
        rights.demand.note(milli, now);
        rights.promise(milli, caller, &self.settings, now)
    }

    /// Settles a charge with what the engine counted.
    pub fn settle(
        &mut self,
        charge: Charge,
        actual: u64,
        now: Millis,
    ) {
        if let Some(rights) = self.accounts.get_mut(&charge.account) {
            rights.bucket.refill(now);
            let charged = charge.tokens.saturating_mul(MILLI);
            let actual = actual.saturating_mul(MILLI);
            rights.bucket.settle(charge.number, charged, actual);
        }
    }

    /// Requests for rights to send now because `shortfall` thousandths of a token are missing.
    pub fn whom_to_ask(
        &mut self,
        account: AccountId,
        shortfall: u64,
        now: Millis,
    ) -> Vec<Ask> {
        let (Some(epoch), Some(rights)) = (self.epoch, self.accounts.get_mut(&account)) else {
            return Vec::new();
        };
        if self.closed || !self.settings.sharing {
            return Vec::new();
        }
        let demand = rights.demand.per_second(now);
        let ahead = demand.saturating_mul(self.settings.ahead.0) / 1000;
        let needed = shortfall.saturating_add(ahead);
        let peers = &mut rights.peers;
        let chosen = peers.choose(account, needed, &self.peers, &self.settings, now);
        let mut asks = Vec::with_capacity(chosen.len());
        for to in chosen {
            let transfer = self.pending.next_transfer();
            let request = TakeRequest {
                from: self.me,
                transfer,
                epoch,
                account,
                needed,
                demand: demand.saturating_add(shortfall).div_ceil(MILLI),
            };
            let ask = Ask { to, request };
            self.pending.add(ask, now);
            asks.push(ask);
        }
        asks
    }

    /// Requests that have waited long for their answer, to be sent again as they are.
    ///
    /// The giver may have subtracted already; only the answer to the same transfer brings it back.
    pub fn unanswered(
        &mut self,
        now: Millis,
    ) -> Vec<Ask> {
        self.pending.unanswered(&self.settings, now)
    }

    /// Asks ahead for accounts that are in use here and whose tokens run low.
    ///
    /// Peers without demand earn too; what doesn't fit in their rooms is lost unless it is fetched.
    pub fn rebalance(
        &mut self,
        now: Millis,
    ) -> Vec<Ask> {
        let ahead = self.settings.ahead.0;
        let mut low = Vec::new();
        for (&account, rights) in &mut self.accounts {
            let demand = rights.demand.per_second(now);
            if demand == 0 {
                continue;
            }
            rights.advance(&self.settings, now);
            let wanted = (demand.saturating_mul(ahead) / 1000).min(rights.burst() / 2);
            if rights.bucket.tokens() < wanted {
                low.push(account);
            }
        }
        low.into_iter()
            .flat_map(|account| self.whom_to_ask(account, 0, now))
            .collect()
    }

    /// Answers a peer; what it is given is subtracted here first.
    pub fn give(
        &mut self,
        request: &TakeRequest,
        now: Millis,
    ) -> Given {
        let epoch = self.epoch.unwrap_or_default();
        let nothing = Given {
            epoch,
            right: Right::none(request.account),
            spare: 0,
        };
        if self.epoch != Some(request.epoch) || self.closed || !self.settings.sharing {
            return nothing;
        }
        match self.given.look_up(request.from, request.transfer) {
            Seen::Answered(given) => return given,
            Seen::Forgotten => return nothing,
            Seen::No => (),
        }
        let holders = self.peers.len() as u64 + 1;
        let Some(rights) = self.accounts.get_mut(&request.account) else {
            return nothing;
        };
        rights.advance(&self.settings, now);
        let offer = rights.offer(request, holders, &self.settings, now);
        let right = rights.bucket.take(&offer);
        let given = Given {
            epoch,
            right,
            spare: rights.spare(&self.settings, now),
        };
        self.given.keep(request.from, request.transfer, given);
        given
    }

    /// Adds what a peer gave, at most once and only if it was asked for in this epoch.
    pub fn receive(
        &mut self,
        transfer: TransferId,
        given: &Given,
        now: Millis,
    ) -> bool {
        let Some(ask) = self.pending.take(transfer) else {
            return false;
        };
        let account = ask.request.account;
        let Some(rights) = self.accounts.get_mut(&account) else {
            return false;
        };
        let same_epoch = self.epoch == Some(given.epoch);
        let valid = same_epoch && given.right.account == account && !self.closed;
        let useful = valid && !given.right.is_none();
        if let Some(peer) = self.peers.iter().position(|&peer| peer == ask.to) {
            let settings = &self.settings;
            rights
                .peers
                .note_answer(peer, useful, given.spare, settings, now);
        }
        if useful {
            rights.bucket.refill(now);
            rights.bucket.add(&given.right);
        }
        useful
    }

    /// Enters an epoch and returns what is held at that moment, to be reported.
    ///
    /// From here on transfers of other epochs are refused, so each right is in exactly one report
    /// or in none. Entering the same epoch again returns the same; an older one, nothing.
    pub fn enter_epoch(
        &mut self,
        epoch: Epoch,
        now: Millis,
    ) -> Option<&[Right]> {
        match self.epoch {
            Some(current) if epoch < current => return None,
            Some(current) if epoch == current => return Some(&self.entered_with),
            _ => (),
        }
        self.epoch = Some(epoch);
        self.pending.clear();
        self.given.clear();
        self.granted.clear();
        for rights in self.accounts.values_mut() {
            rights.advance(&self.settings, now);
            rights.peers.clear();
        }
        self.entered_with = self.held();
        Some(&self.entered_with)
    }

    /// Adds what the epoch's record grants this holder, each account's grant once.
    pub fn apply_grants(
        &mut self,
        epoch: Epoch,
        grants: &[Right],
        now: Millis,
    ) {
        if self.epoch != Some(epoch) || self.closed {
            return;
        }
        for grant in grants {
            if self.granted.insert(grant.account) {
                let rights = self.accounts.entry(grant.account).or_default();
                rights.bucket.refill(now);
                rights.bucket.add(grant);
            }
        }
    }

    /// Stops for good and returns all that was held: the holder's last word.
    pub fn give_all_back(
        &mut self,
        now: Millis,
    ) -> Vec<Right> {
        for rights in self.accounts.values_mut() {
            rights.advance(&self.settings, now);
        }
        let held = self.held();
        self.forfeit();
        held
    }

    /// Drops everything and stops: others have been told that this holder is gone.
    pub fn forfeit(&mut self) {
        self.closed = true;
        self.accounts.clear();
        self.pending.clear();
        self.given.clear();
    }

    /// Everything held now, as of the last use of each account.
    pub fn held(&self) -> Vec<Right> {
        self.accounts
            .iter()
            .map(|(&account, rights)| rights.bucket.held(account))
            .filter(|right| !right.is_none())
            .collect()
    }

    /// The epoch this holder is in.
    pub const fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    fn may_ask_for(
        &self,
        account: AccountId,
        now: Millis,
    ) -> bool {
        self.epoch.is_some()
            && self.settings.sharing
            && self.accounts.get(&account).is_some_and(|rights| {
                rights
                    .peers
                    .is_worth_asking(&self.peers, &self.settings, now)
            })
    }
}
