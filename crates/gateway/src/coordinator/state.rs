use {
    super::{ActiveRequest, ConfigFreshness, Effect, Members, RightsAvailability},
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

/// Maximum number of VMs polled for a confirmation at a time.
const MAX_CONFIRMATION_POLLS: usize = 16;
/// How long a finished adapter load is kept to compute the load time within requests' waits.
const LOAD_RETENTION: Millis = Millis::from_secs(30);

/// The time span of an adapter load; without an end while it runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterLoad {
    pub(super) started_at: Millis,
    pub(super) ended_at: Option<Millis>,
}

/// The coordinator's state: configuration, members, rights, queue and router.
#[derive(Debug)]
pub struct State {
    pub(super) me: Holder,
    pub(super) clock: Clock,
    pub(super) settings: GatewaySettings,
    pub(super) readiness: Arc<Readiness>,
    pub(super) tree: Option<Tree>,
    pub(super) fleet: Fleet,
    pub(super) fleet_updates: watch::Sender<Arc<Fleet>>,
    pub(super) config_freshness: ConfigFreshness,
    pub(super) members: Members,
    pub(super) ledger: RightsLedger,
    pub(super) queue: FairQueue,
    pub(super) router: Router,
    pub(super) active: HashMap<RequestId, ActiveRequest>,
    /// Requests that wait for rights, in arrival order.
    pub(super) awaiting_rights: HashMap<AccountId, VecDeque<RequestId>>,
    pub(super) adapter_loads: HashMap<AdapterVersion, AdapterLoad>,
    pub(super) own_data_centre: DataCentreId,
    pub(super) reported_epoch: Option<Epoch>,
    pub(super) rights_availability: RightsAvailability,
    /// Accounts whose limits and shares have been set.
    pub(super) accounts: BTreeSet<AccountId>,
    pub(super) effects: Vec<Effect>,
}

impl State {
    /// Creates a state without configuration, members or rights.
    pub fn new(
        me: Holder,
        clock: Clock,
        settings: GatewaySettings,
        readiness: Arc<Readiness>,
        fleet_updates: watch::Sender<Arc<Fleet>>,
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
            fleet_updates,
            config_freshness: ConfigFreshness::default(),
            members: Members::default(),
            ledger: RightsLedger::new(me, RightsSettings::default()),
            queue,
            router: Self::new_router(DataCentreId::default()),
            active: HashMap::new(),
            awaiting_rights: HashMap::new(),
            adapter_loads: HashMap::new(),
            own_data_centre: DataCentreId::default(),
            reported_epoch: None,
            rights_availability: RightsAvailability::default(),
            accounts: BTreeSet::new(),
            effects: Vec::new(),
        }
    }

    /// Takes the effects produced since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Number of active requests.
    pub fn in_flight(&self) -> usize {
        self.active.len()
    }

    /// The current rights epoch, zero before the first.
    pub fn epoch(&self) -> Epoch {
        self.ledger.epoch().unwrap_or_default()
    }

    /// Whether this daemon is about to stop.
    pub fn is_draining(&self) -> bool {
        self.readiness.is_stopping()
    }

    /// Handles a peer's request for rights.
    pub fn handle_take_request(
        &mut self,
        request: &TakeRequest,
    ) -> TakeResponse {
        self.ledger.handle_take_request(request, self.clock.now())
    }

    /// Releases all rights before a stop; returns them with their epoch.
    pub fn release_rights(&mut self) -> (Epoch, Vec<Right>) {
        let epoch = self.epoch();
        (epoch, self.ledger.release_all(self.clock.now()))
    }

    /// The VMs to poll for a confirmation of the configuration, oldest response first.
    ///
    /// Empty while the store's confirmation is recent; VMs with a recent response are skipped.
    pub fn vms_to_poll(&self) -> Vec<(VmId, SocketAddr)> {
        let now = self.clock.now();
        let half = Millis(self.settings.config_stale_ms.0 / 2);
        if !self.config_freshness.needs_peer_confirmation(half, now) {
            return Vec::new();
        }
        let mut others = self.members.controllers_except(self.me.vm);
        others.retain(|&(vm, _)| {
            let heard = self.config_freshness.last_response_at(vm);
            heard.is_none_or(|at| now.since(at) > half)
        });
        others.sort_by_key(|&(vm, _)| self.config_freshness.last_response_at(vm));
        others.truncate(MAX_CONFIRMATION_POLLS);
        others
    }

    /// Runs periodic work: readiness, router timers, transfers of rights, and queued requests.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        let stale = self.settings.config_stale_ms;
        let confirmed =
            self.config_freshness
                .is_confirmed(self.me.vm, self.members.vms(), stale, now);
        self.readiness
            .set_confirmed(confirmed && self.tree.is_some());
        self.rights_availability.tick(now);
        self.readiness
            .set_rights_available(self.rights_availability.is_startup_complete(now));
        let actions = self.router.tick(now);
        self.effects.extend(actions.into_iter().map(Effect::from));
        let mut take_requests = self.ledger.due_resends(now);
        take_requests.extend(self.ledger.prefetch(now));
        self.effects
            .extend(take_requests.into_iter().map(Effect::TakeRights));
        let recent = |at: Millis| now.since(at) < LOAD_RETENTION;
        self.adapter_loads
            .retain(|_, load| load.ended_at.is_none_or(recent));
        self.retry_awaiting_rights(now);
        self.dispatch(now);
    }

    pub(super) fn new_router(data_centre: DataCentreId) -> Router {
        Router::new(RouterSettings::new(data_centre))
    }
}
