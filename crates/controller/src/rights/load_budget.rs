use {
    crate::{clock::OwnClock, peers::PeerLinks},
    jasmine_core::{
        ids::{AccountId, Epoch, Holder},
        rights::{
            Admission, CallerTag, Limit, OutgoingTakeRequest, Right, RightsLedger, RightsSettings,
            TakeRequest, TakeResponse,
        },
    },
    std::{cell::RefCell, rc::Rc},
};

/// The account number under which the weight store's rate is divided; no client account has it.
pub const WEIGHT_STORE: AccountId = AccountId(u32::MAX);

/// Loads a second that the weight store allows over the whole fleet.
const LOADS_PER_SECOND: u64 = 2;

/// Loads that may begin together after a rest; over eight in flight each takes longer.
const LOADS_AT_ONCE: u64 = 6;

/// Rounds of asking peers before a load waits for its next turn.
const ROUNDS: usize = 3;

/// What the weight store allows over the whole fleet.
pub const fn weight_store_limit() -> Limit {
    Limit {
        rate: LOADS_PER_SECOND,
        burst: LOADS_AT_ONCE,
    }
}

/// What this controller may order of the weight store.
///
/// The store's rate is a right like an account's: divided, moved between holders, never counted
/// twice. So no single loader is needed, and loads go on where they are wanted while others idle.
pub struct LoadBudget {
    clock: OwnClock,
    me: Holder,
    links: Rc<PeerLinks>,
    ledger: RefCell<RightsLedger>,
}

impl std::fmt::Debug for LoadBudget {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("LoadBudget")
            .field("ledger", &self.ledger)
            .finish_non_exhaustive()
    }
}

impl LoadBudget {
    /// A budget that holds nothing yet.
    pub fn new(
        clock: OwnClock,
        me: Holder,
        links: Rc<PeerLinks>,
    ) -> Self {
        Self {
            clock,
            me,
            links,
            ledger: RefCell::new(new_ledger(me, clock)),
        }
    }

    /// The epoch this holder is in.
    pub fn epoch(&self) -> Option<Epoch> {
        self.ledger.borrow().epoch()
    }

    /// Sets the controllers that may be asked.
    pub fn set_peers(
        &self,
        peers: impl IntoIterator<Item = Holder>,
    ) {
        self.ledger.borrow_mut().set_peers(peers);
    }

    /// Enters an epoch and returns what is held, to be reported.
    pub fn enter(
        &self,
        epoch: Epoch,
    ) -> Option<Vec<Right>> {
        let now = self.clock.now();
        let mut ledger = self.ledger.borrow_mut();
        ledger.enter_epoch(epoch, now).map(<[Right]>::to_vec)
    }

    /// Adds what the epoch grants.
    pub fn apply_grants(
        &self,
        epoch: Epoch,
        grants: &[Right],
    ) {
        let now = self.clock.now();
        self.ledger.borrow_mut().apply_grants(epoch, grants, now);
    }

    /// Drops everything: others have been told that this holder is gone.
    pub fn discard_all(&self) {
        self.ledger.replace(new_ledger(self.me, self.clock));
    }

    /// Stops and returns what was held.
    pub fn release_all(&self) -> Vec<Right> {
        self.ledger.borrow_mut().release_all(self.clock.now())
    }

    /// Answers another controller.
    pub fn handle_take_request(
        &self,
        request: &TakeRequest,
    ) -> TakeResponse {
        self.ledger
            .borrow_mut()
            .handle_take_request(request, self.clock.now())
    }

    /// Takes up to `loads` from the budget, asking others for what is missing; says how many.
    pub async fn take(
        &self,
        loads: u32,
    ) -> u32 {
        let mut granted = 0;
        for _ in 0..ROUNDS {
            let asks = loop {
                if granted == loads {
                    return granted;
                }
                match self.admit_one() {
                    Admission::Admitted(charge) => {
                        self.ledger
                            .borrow_mut()
                            .settle(charge, charge.tokens, self.clock.now());
                        granted += 1;
                    }
                    Admission::Refused(_) => return granted,
                    Admission::NeedsRights { shortfall } => {
                        break self.create_take_requests(shortfall);
                    }
                }
            };
            if asks.is_empty() {
                break;
            }
            futures::future::join_all(asks.iter().map(|ask| self.ask(ask))).await;
        }
        granted
    }

    /// Sends again what was not answered.
    pub async fn resend(&self) {
        let asks = self.ledger.borrow_mut().due_resends(self.clock.now());
        futures::future::join_all(asks.iter().map(|ask| self.ask(ask))).await;
    }

    fn admit_one(&self) -> Admission {
        let tag = CallerTag(u64::from(self.me.vm.0));
        self.ledger
            .borrow_mut()
            .try_admit(WEIGHT_STORE, 1, tag, self.clock.now())
    }

    fn create_take_requests(
        &self,
        shortfall: u64,
    ) -> Vec<OutgoingTakeRequest> {
        self.ledger
            .borrow_mut()
            .create_take_requests(WEIGHT_STORE, shortfall, self.clock.now())
    }

    async fn ask(
        &self,
        ask: &OutgoingTakeRequest,
    ) {
        if let Some(given) = self.links.take_rights(ask).await {
            let now = self.clock.now();
            self.ledger
                .borrow_mut()
                .handle_take_response(ask.request.transfer, &given, now);
        }
    }
}

fn new_ledger(
    me: Holder,
    clock: OwnClock,
) -> RightsLedger {
    let mut ledger = RightsLedger::new(me, RightsSettings::default());
    ledger.set_limit(WEIGHT_STORE, weight_store_limit(), clock.now());
    ledger
}
