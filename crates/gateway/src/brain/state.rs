use {
    super::{Effect, Freshness, Members, Running, Settling},
    crate::{clock::Clock, status::Readiness},
    jasmine_conf::{fleet::Fleet, settings::GatewaySettings, tree::Tree},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterVersion, DataCentreId, Epoch, Holder, RequestId, VmId},
        queue::{FairQueue, QueueSettings},
        rights::{Right, RightsLedger, RightsSettings, TakeRequest, TakeResponse},
        routing::{Router, RouterSettings},
    },
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        net::SocketAddr,
        sync::Arc,
    },
    tokio::sync::watch,
};

/// VMs that are asked for a confirmation at a time.
const HEARD_AT_A_TIME: usize = 16;
/// For how long a load that has ended explains the wait of requests.
const LOADS_KEPT: Millis = Millis::from_secs(30);

/// When an adapter was waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Load {
    pub(super) from: Millis,
    pub(super) to: Option<Millis>,
}

/// All that the brain decides by.
#[derive(Debug)]
pub struct State {
    pub(super) me: Holder,
    pub(super) clock: Clock,
    pub(super) settings: GatewaySettings,
    pub(super) readiness: Arc<Readiness>,
    pub(super) tree: Option<Tree>,
    pub(super) fleet: Fleet,
    pub(super) published: watch::Sender<Arc<Fleet>>,
    pub(super) freshness: Freshness,
    pub(super) members: Members,
    pub(super) ledger: RightsLedger,
    pub(super) queue: FairQueue,
    pub(super) router: Router,
    pub(super) running: HashMap<RequestId, Running>,
    /// Requests that wait for rights, in the order in which they came.
    pub(super) asking: HashMap<AccountId, VecDeque<RequestId>>,
    pub(super) loads: HashMap<AdapterVersion, Load>,
    pub(super) own_data_centre: DataCentreId,
    pub(super) reported: Option<Epoch>,
    pub(super) settling: Settling,
    /// Accounts whose limits and shares have been set.
    pub(super) accounts: BTreeSet<AccountId>,
    pub(super) effects: Vec<Effect>,
}

impl State {
    /// A brain that knows nothing yet.
    pub fn new(
        me: Holder,
        clock: Clock,
        settings: GatewaySettings,
        readiness: Arc<Readiness>,
        published: watch::Sender<Arc<Fleet>>,
    ) -> Self {
        let queue = FairQueue::new(QueueSettings {
            max_queued: settings.limits.max_in_flight as usize,
            ..QueueSettings::default()
        });
        Self {
            me,
            clock,
            settings,
            readiness,
            tree: None,
            fleet: Fleet::default(),
            published,
            freshness: Freshness::default(),
            members: Members::default(),
            ledger: RightsLedger::new(me, RightsSettings::default()),
            queue,
            router: Self::router_at(DataCentreId::default()),
            running: HashMap::new(),
            asking: HashMap::new(),
            loads: HashMap::new(),
            own_data_centre: DataCentreId::default(),
            reported: None,
            settling: Settling::default(),
            accounts: BTreeSet::new(),
            effects: Vec::new(),
        }
    }

    /// Takes the messages that the last decisions have led to.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Requests that are known.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// The epoch of rights, zero before the first.
    pub fn epoch(&self) -> Epoch {
        self.ledger.epoch().unwrap_or_default()
    }

    /// Whether this daemon is about to stop.
    pub fn is_draining(&self) -> bool {
        self.readiness.is_stopping()
    }

    /// Answers a peer that asks for rights.
    pub fn handle_take_request(
        &mut self,
        request: &TakeRequest,
    ) -> TakeResponse {
        self.ledger.handle_take_request(request, self.clock.now())
    }

    /// Stops for good: the epoch and all that was held.
    pub fn give_back(&mut self) -> (Epoch, Vec<Right>) {
        let epoch = self.epoch();
        (epoch, self.ledger.release_all(self.clock.now()))
    }

    /// The VMs to be asked for a confirmation of the configuration, those unheard for longest first.
    ///
    /// Only while the store's own word is getting old, and only those whose last word is: nobody asks everybody
    /// all the time.
    pub fn vms_to_hear(&self) -> Vec<(VmId, SocketAddr)> {
        let now = self.clock.now();
        let half = Millis(self.settings.config_stale_ms.0 / 2);
        if !self.freshness.needs_peers(half, now) {
            return Vec::new();
        }
        let mut others = self.members.controllers_but_for(self.me.vm);
        others.retain(|&(vm, _)| {
            let heard = self.freshness.last_heard(vm);
            heard.is_none_or(|at| now.since(at) > half)
        });
        others.sort_by_key(|&(vm, _)| self.freshness.last_heard(vm));
        others.truncate(HEARD_AT_A_TIME);
        others
    }

    /// What is to be done as time passes.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        let stale = self.settings.config_stale_ms;
        let confirmed = self
            .freshness
            .is_confirmed(self.me.vm, self.members.vms(), stale, now);
        self.readiness
            .set_confirmed(confirmed && self.tree.is_some());
        self.settling.tick(now);
        self.readiness.set_settled(self.settling.is_settled(now));
        let actions = self.router.tick(now);
        self.effects.extend(actions.into_iter().map(Effect::from));
        let mut asks = self.ledger.due_resends(now);
        asks.extend(self.ledger.prefetch(now));
        self.effects
            .extend(asks.into_iter().map(Effect::TakeRights));
        let recent = |at: Millis| now.since(at) < LOADS_KEPT;
        self.loads.retain(|_, load| load.to.is_none_or(recent));
        self.retry_asking(now);
        self.dispatch(now);
    }

    pub(super) fn router_at(data_centre: DataCentreId) -> Router {
        Router::new(RouterSettings::new(data_centre))
    }
}
