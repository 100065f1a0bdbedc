use {
    crate::{clock::MonotonicClock, peers::PeerLinks},
    jasmine_core::{
        ids::{AccountId, Epoch, Holder},
        rights::{
            Admission, CallerTag, Limit, OutgoingTakeRequest, Right, RightsLedger, RightsSettings,
            TakeRequest, TakeResponse,
        },
    },
    std::{cell::RefCell, rc::Rc},
};

/// Reserved account id for the weight store's rate limit; no client account uses it.
pub const WEIGHT_STORE_ACCOUNT: AccountId = AccountId(u32::MAX);

/// Fleet-wide loads per second from the weight store.
const MAX_LOADS_PER_SECOND: u64 = 2;

/// Fleet-wide burst of loads, below the concurrency at which each load slows down.
const MAX_LOAD_BURST: u64 = 6;

/// Maximum rounds of take requests to peers in one call of [`LoadBudget::take`].
const MAX_TAKE_ROUNDS: usize = 3;

/// Returns the fleet-wide rate limit of the weight store.
pub const fn weight_store_limit() -> Limit {
    Limit {
        rate: MAX_LOADS_PER_SECOND,
        burst: MAX_LOAD_BURST,
    }
}

/// This controller's share of the weight store's rate limit.
///
/// The limit is divided into rights like that of an account: rights move between holders and are never
/// counted twice. Loads need no central coordinator, and a busy controller can use an idle one's share.
pub struct LoadBudget {
    clock: MonotonicClock,
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
    /// Creates a budget without rights.
    pub fn new(
        clock: MonotonicClock,
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

    /// Returns the epoch that this holder has entered.
    pub fn epoch(&self) -> Option<Epoch> {
        self.ledger.borrow().epoch()
    }

    /// Sets the controllers that may be asked for rights.
    pub fn set_peers(
        &self,
        peers: impl IntoIterator<Item = Holder>,
    ) {
        self.ledger.borrow_mut().set_peers(peers);
    }

    /// Enters an epoch and returns the rights held, which are to be reported.
    pub fn enter(
        &self,
        epoch: Epoch,
    ) -> Option<Vec<Right>> {
        let now = self.clock.now();
        let mut ledger = self.ledger.borrow_mut();
        ledger.enter_epoch(epoch, now).map(<[Right]>::to_vec)
    }

    /// Adds the rights granted by the epoch.
    pub fn apply_grants(
        &self,
        epoch: Epoch,
        grants: &[Right],
    ) {
        let now = self.clock.now();
        self.ledger.borrow_mut().apply_grants(epoch, grants, now);
    }

    /// Drops all rights after an epoch has excluded this holder as gone.
    pub fn discard_all(&self) {
        self.ledger.replace(new_ledger(self.me, self.clock));
    }

    /// Releases and returns all rights held, for a planned stop.
    pub fn release_all(&self) -> Vec<Right> {
        self.ledger.borrow_mut().release_all(self.clock.now())
    }

    /// Answers a take request of another controller.
    pub fn handle_take_request(
        &self,
        request: &TakeRequest,
    ) -> TakeResponse {
        self.ledger
            .borrow_mut()
            .handle_take_request(request, self.clock.now())
    }

    /// Takes up to `loads` from the budget, asking peers for missing rights; returns the number taken.
    pub async fn take(
        &self,
        loads: u32,
    ) -> u32 {
        let mut granted = 0;
        for _ in 0..MAX_TAKE_ROUNDS {
            let requests = loop {
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
            if requests.is_empty() {
                break;
            }
            futures::future::join_all(
                requests
                    .iter()
                    .map(|request| self.send_take_request(request)),
            )
            .await;
        }
        granted
    }

    /// Resends take requests that were not answered.
    pub async fn resend(&self) {
        let requests = self.ledger.borrow_mut().due_resends(self.clock.now());
        futures::future::join_all(
            requests
                .iter()
                .map(|request| self.send_take_request(request)),
        )
        .await;
    }

    fn admit_one(&self) -> Admission {
        let tag = CallerTag(u64::from(self.me.vm.0));
        self.ledger
            .borrow_mut()
            .try_admit(WEIGHT_STORE_ACCOUNT, 1, tag, self.clock.now())
    }

    fn create_take_requests(
        &self,
        shortfall: u64,
    ) -> Vec<OutgoingTakeRequest> {
        self.ledger.borrow_mut().create_take_requests(
            WEIGHT_STORE_ACCOUNT,
            shortfall,
            self.clock.now(),
        )
    }

    async fn send_take_request(
        &self,
        outgoing: &OutgoingTakeRequest,
    ) {
        if let Some(given) = self.links.take_rights(outgoing).await {
            let now = self.clock.now();
            self.ledger
                .borrow_mut()
                .handle_take_response(outgoing.request.transfer, &given, now);
        }
    }
}

fn new_ledger(
    me: Holder,
    clock: MonotonicClock,
) -> RightsLedger {
    let mut ledger = RightsLedger::new(me, RightsSettings::default());
    ledger.set_limit(WEIGHT_STORE_ACCOUNT, weight_store_limit(), clock.now());
    ledger
}
