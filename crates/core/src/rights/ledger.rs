use {
    super::{
        Admission, CallerTag, Charge, Limit, MILLITOKENS_PER_TOKEN, OutgoingTakeRequest,
        ReservedTokens, Right, RightsSettings, TakeRequest, TakeResponse,
        account_rights::AccountRights,
        pending_requests::PendingRequests,
        transfer_log::{LookUp, TransferLog},
    },
    crate::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AccountId, Epoch, Holder, TransferId},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// The rate rights of one holder to all accounts.
///
/// The daemon calls [`Self::try_admit`] for each request. If peers may have the missing tokens, it
/// sends them the messages from [`Self::create_take_requests`], passes their responses to the ledger and
/// tries again. When no peer is left to ask or the wait takes too long, it calls
/// [`Self::refuse_with_retry`].
#[derive(Clone, Debug)]
pub struct RightsLedger {
    me: Holder,
    settings: RightsSettings,
    epoch: Option<Epoch>,
    /// Rights held when the current epoch was entered.
    epoch_report: Vec<Right>,
    /// Accounts whose grant of the current epoch has been applied.
    granted: BTreeSet<AccountId>,
    is_closed: bool,
    accounts: BTreeMap<AccountId, AccountRights>,
    peers: Vec<Holder>,
    pending: PendingRequests,
    responses: TransferLog,
}

impl RightsLedger {
    /// Creates a ledger without rights.
    pub fn new(
        me: Holder,
        settings: RightsSettings,
    ) -> Self {
        Self {
            me,
            settings,
            epoch: None,
            epoch_report: Vec::new(),
            granted: BTreeSet::new(),
            is_closed: false,
            accounts: BTreeMap::new(),
            peers: Vec::new(),
            pending: PendingRequests::default(),
            responses: TransferLog::default(),
        }
    }

    /// Sets the peers to ask: the reachable holders of the same role.
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

    /// Sets an account's limit; tokens above a lower burst are dropped at once.
    pub fn set_limit(
        &mut self,
        account: AccountId,
        limit: Limit,
        now: Millis,
    ) {
        let rights = self.accounts.entry(account).or_default();
        rights.bucket.set_limit(limit, now);
    }

    /// Removes a deleted account; account ids are never reused.
    pub fn remove(
        &mut self,
        account: AccountId,
    ) {
        self.accounts.remove(&account);
        self.pending.remove_account(account);
    }

    /// Tries to admit a request of `cost` tokens without using reserved tokens.
    pub fn try_admit(
        &mut self,
        account: AccountId,
        cost: u64,
        caller: CallerTag,
        now: Millis,
    ) -> Admission {
        self.try_admit_with(ReservedTokens::Keep(0), account, cost, caller, now)
    }

    /// Like [`Self::try_admit`], with explicit access to reserved tokens.
    pub fn try_admit_with(
        &mut self,
        reserve: ReservedTokens,
        account: AccountId,
        cost: u64,
        caller: CallerTag,
        now: Millis,
    ) -> Admission {
        if self.is_closed {
            return Admission::Refused(Refusal::new(ErrorKind::ShuttingDown));
        }
        let Some(rights) = self.accounts.get_mut(&account) else {
            return Admission::Refused(Refusal::new(ErrorKind::RateLimited));
        };
        rights.advance(&self.settings, now);
        let millitokens = cost.saturating_mul(MILLITOKENS_PER_TOKEN);
        if millitokens > rights.burst() {
            return Admission::Refused(Refusal::new(ErrorKind::LargerThanBurst));
        }
        let reserved = match reserve {
            ReservedTokens::Use => 0,
            ReservedTokens::Keep(tokens) => rights
                .reserved_before(caller)
                .saturating_add(tokens.saturating_mul(MILLITOKENS_PER_TOKEN)),
        };
        let required = millitokens.saturating_add(reserved);
        let tokens = rights.bucket.tokens();
        let number = (tokens >= required)
            .then(|| rights.bucket.charge(millitokens))
            .flatten();
        match number {
            Some(number) => {
                rights.reservations.complete(caller);
                rights.demand.record(millitokens, now);
                Admission::Admitted(Charge {
                    account,
                    number,
                    tokens: cost,
                })
            }
            None if self.can_ask_peers(account, now) => Admission::NeedsRights {
                shortfall: required - tokens,
            },
            None => Admission::Refused(self.refuse_with_retry(account, cost, caller, now)),
        }
    }

    /// Refuses a request with a retry time, and reserves tokens for the retry where possible.
    pub fn refuse_with_retry(
        &mut self,
        account: AccountId,
        cost: u64,
        caller: CallerTag,
        now: Millis,
    ) -> Refusal {
        let Some(rights) = self.accounts.get_mut(&account) else {
            return Refusal::new(ErrorKind::RateLimited);
        };
        let millitokens = cost.saturating_mul(MILLITOKENS_PER_TOKEN);
        if millitokens > rights.burst() {
            return Refusal::new(ErrorKind::LargerThanBurst);
        }
        rights.advance(&self.settings, now);
        rights.demand.record(millitokens, now);
        rights.refuse(millitokens, caller, &self.settings, now)
    }

    /// Settles a charge with the actual usage, in tokens.
    pub fn settle(
        &mut self,
        charge: Charge,
        actual: u64,
        now: Millis,
    ) {
        if let Some(rights) = self.accounts.get_mut(&charge.account) {
            rights.bucket.refill(now);
            let charged = charge.tokens.saturating_mul(MILLITOKENS_PER_TOKEN);
            let actual = actual.saturating_mul(MILLITOKENS_PER_TOKEN);
            rights.bucket.settle(charge.number, charged, actual);
        }
    }

    /// Creates the requests to send to peers for `shortfall` missing millitokens.
    pub fn create_take_requests(
        &mut self,
        account: AccountId,
        shortfall: u64,
        now: Millis,
    ) -> Vec<OutgoingTakeRequest> {
        let (Some(epoch), Some(rights)) = (self.epoch, self.accounts.get_mut(&account)) else {
            return Vec::new();
        };
        if self.is_closed || !self.settings.sharing {
            return Vec::new();
        }
        let demand = rights.demand.per_second(now);
        let prefetch_tokens = demand.saturating_mul(self.settings.prefetch_window.0) / 1000;
        let needed = shortfall.saturating_add(prefetch_tokens);
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
                demand: demand
                    .saturating_add(shortfall)
                    .div_ceil(MILLITOKENS_PER_TOKEN),
            };
            let ask = OutgoingTakeRequest { to, request };
            self.pending.add(ask, now);
            asks.push(ask);
        }
        asks
    }

    /// Returns the unanswered requests that are due to be sent again, unchanged.
    ///
    /// The giver may already have subtracted the rights, which only a response to the same transfer
    /// can deliver.
    pub fn due_resends(
        &mut self,
        now: Millis,
    ) -> Vec<OutgoingTakeRequest> {
        self.pending.due_resends(&self.settings, now)
    }

    /// Prefetches tokens for accounts that are in use here and run low.
    ///
    /// Idle peers earn tokens too, and lose those that exceed the capacity of their buckets.
    pub fn prefetch(
        &mut self,
        now: Millis,
    ) -> Vec<OutgoingTakeRequest> {
        let prefetch_window = self.settings.prefetch_window.0;
        let mut low_accounts = Vec::new();
        for (&account, rights) in &mut self.accounts {
            let demand = rights.demand.per_second(now);
            if demand == 0 {
                continue;
            }
            rights.advance(&self.settings, now);
            let required = (demand.saturating_mul(prefetch_window) / 1000).min(rights.burst() / 2);
            if rights.bucket.tokens() < required {
                low_accounts.push(account);
            }
        }
        low_accounts
            .into_iter()
            .flat_map(|account| self.create_take_requests(account, 0, now))
            .collect()
    }

    /// Handles a peer's request; the returned rights have been subtracted here.
    pub fn handle_take_request(
        &mut self,
        request: &TakeRequest,
        now: Millis,
    ) -> TakeResponse {
        let epoch = self.epoch.unwrap_or_default();
        let empty = TakeResponse {
            epoch,
            right: Right::none(request.account),
            spare: 0,
        };
        if self.epoch != Some(request.epoch) || self.is_closed || !self.settings.sharing {
            return empty;
        }
        match self.responses.look_up(request.from, request.transfer) {
            LookUp::Handled(response) => return response,
            LookUp::Evicted => return empty,
            LookUp::New => (),
        }
        let holders = self.peers.len() as u64 + 1;
        let Some(rights) = self.accounts.get_mut(&request.account) else {
            return empty;
        };
        rights.advance(&self.settings, now);
        let offer = rights.offer(request, holders, &self.settings, now);
        let right = rights.bucket.take(&offer);
        let response = TakeResponse {
            epoch,
            right,
            spare: rights.spare(&self.settings, now),
        };
        self.responses
            .store(request.from, request.transfer, response);
        response
    }

    /// Adds the rights of a peer's response and returns whether there were any.
    ///
    /// Each transfer is applied at most once, and only in the epoch in which it was requested.
    pub fn handle_take_response(
        &mut self,
        transfer: TransferId,
        response: &TakeResponse,
        now: Millis,
    ) -> bool {
        let Some(ask) = self.pending.take(transfer) else {
            return false;
        };
        let account = ask.request.account;
        let Some(rights) = self.accounts.get_mut(&account) else {
            return false;
        };
        let same_epoch = self.epoch == Some(response.epoch);
        let valid = same_epoch && response.right.account == account && !self.is_closed;
        let useful = valid && !response.right.is_none();
        if let Some(peer) = self.peers.iter().position(|&peer| peer == ask.to) {
            let settings = &self.settings;
            rights
                .peers
                .record_response(peer, useful, response.spare, settings, now);
        }
        if useful {
            rights.bucket.refill(now);
            rights.bucket.add(&response.right);
        }
        useful
    }

    /// Enters an epoch and returns the rights held at that moment, to be reported.
    ///
    /// Transfers of other epochs are rejected from then on, so each right is in at most one report.
    /// Entering the current epoch again returns the same report; an older epoch returns `None`.
    pub fn enter_epoch(
        &mut self,
        epoch: Epoch,
        now: Millis,
    ) -> Option<&[Right]> {
        match self.epoch {
            Some(current) if epoch < current => return None,
            Some(current) if epoch == current => return Some(&self.epoch_report),
            _ => (),
        }
        self.epoch = Some(epoch);
        self.pending.clear();
        self.responses.clear();
        self.granted.clear();
        for rights in self.accounts.values_mut() {
            rights.advance(&self.settings, now);
            rights.peers.clear();
        }
        self.epoch_report = self.held();
        Some(&self.epoch_report)
    }

    /// Applies the grants of an epoch record to this holder, once for each account.
    pub fn apply_grants(
        &mut self,
        epoch: Epoch,
        grants: &[Right],
        now: Millis,
    ) {
        if self.epoch != Some(epoch) || self.is_closed {
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

    /// Raises the tokens that are available at once to `millitokens`, if there are fewer.
    pub fn raise_tokens(
        &mut self,
        account: AccountId,
        millitokens: u64,
        now: Millis,
    ) {
        if let Some(rights) = self.accounts.get_mut(&account) {
            rights.bucket.refill(now);
            let missing = millitokens.saturating_sub(rights.bucket.tokens());
            rights.bucket.add(&Right {
                tokens: missing,
                ..Right::none(account)
            });
        }
    }

    /// Closes the ledger and returns all rights for the final report.
    pub fn release_all(
        &mut self,
        now: Millis,
    ) -> Vec<Right> {
        for rights in self.accounts.values_mut() {
            rights.advance(&self.settings, now);
        }
        let held = self.held();
        self.discard_all();
        held
    }

    /// Closes the ledger and drops all rights, because they are reissued to other holders.
    pub fn discard_all(&mut self) {
        self.is_closed = true;
        self.accounts.clear();
        self.pending.clear();
        self.responses.clear();
    }

    /// Returns the rights held, as of the last use of each account.
    pub fn held(&self) -> Vec<Right> {
        self.accounts
            .iter()
            .map(|(&account, rights)| rights.bucket.held(account))
            .filter(|right| !right.is_none())
            .collect()
    }

    /// The current epoch, if one has been entered.
    pub const fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    fn can_ask_peers(
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
