use {
    super::ControllerStatus,
    crate::{
        claims::ClaimStore,
        clock::{ChangeNotifier, MonotonicClock, unix_millis},
        config::{ConfigReader, ConfigState, EditWriter},
        epochs::{EpochFollower, EpochManager, HoldingsWriter},
        fleet::{DaemonRecord, FleetMirror, MemberRecord, Registration},
        follow::{Bootstrap, ConfigFollower, FleetFollower},
        ownership::{Assignment, EngineOwner, OutageLeaseExtension},
        peers::PeerLinks,
        rights::LoadBudget,
        session::{LeaseSession, RENEWALS_PER_TTL},
        shared::SharedState,
        status::{Gauge, Gauges, Health},
    },
    jasmine_conf::settings::ControllerSettings,
    jasmine_core::{
        clock::Millis,
        ids::{Holder, Incarnation, Role},
        ownership::OwnerSettings,
    },
    jasmine_store::{
        etcd::{CallCounts, EtcdOptions, EtcdStore, StoreConnectivity},
        store::Store,
        vms::VmList,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
};

/// State and components of a running controller.
///
/// It is confined to one thread, like the connections between daemons; the status server and the
/// operators' HTTP server access it from other threads through [`Health`] and actor messages.
#[derive(Debug)]
pub struct ControllerContext {
    /// Identity of this daemon, with the incarnation of this run.
    pub me: Holder,
    /// Settings of this controller.
    pub settings: ControllerSettings,
    /// Monotonic clock of this process.
    pub clock: MonotonicClock,
    /// Session that keeps the lease in the store alive.
    pub session: Rc<LeaseSession>,
    /// Membership record of this VM.
    pub registration: Registration,
    /// Raised when the membership record has to be written.
    pub registration_due: ChangeNotifier,
    /// Local copy of the fleet records in the store.
    pub fleet: Rc<RefCell<FleetMirror>>,
    /// Current configuration.
    pub config: Rc<ConfigState>,
    /// Writes operators' edits to the store.
    pub edits: Rc<EditWriter>,
    /// Claims of idempotency keys.
    pub claims: Rc<ClaimStore>,
    /// Connections to other controllers.
    pub links: Rc<PeerLinks>,
    /// This controller's share of the weight store's rate limit.
    pub budget: Rc<LoadBudget>,
    /// Engines owned by this controller.
    pub engine_owner: Rc<EngineOwner>,
    /// Acquires and hands over ownership of engines.
    pub assignment: Assignment,
    /// Writes reports of held rights to the store.
    pub holdings: Rc<HoldingsWriter>,
    /// Moves this controller's rights to the next epoch.
    pub epoch_follower: EpochFollower,
    /// Advances the epoch of the fleet.
    pub epochs: EpochManager,
    /// Keeps the configuration current.
    pub config_follower: Rc<ConfigFollower>,
    /// Keeps the fleet state current.
    pub fleet_follower: Rc<FleetFollower>,
    /// Loads the configuration from peers during a store outage.
    pub bootstrap: Bootstrap,
    /// Health and readiness for the status server.
    pub health: Health,
    /// Values of the metrics page.
    pub gauges: Gauges,
    /// Whether this controller is shutting down.
    pub leaving: Cell<bool>,
    /// Counters of calls to the store.
    pub store_calls: CallCounts,
    /// Connectivity of the store.
    pub connectivity: StoreConnectivity,
    /// Extends ownership while no controller can reach the store.
    pub lease_extension: OutageLeaseExtension,
}

impl ControllerContext {
    /// Creates the components of a controller that peers reach at `address`.
    pub fn new(
        settings: ControllerSettings,
        address: SocketAddr,
    ) -> Self {
        let etcd = EtcdStore::new(EtcdOptions {
            timeout: settings.platform.timeout_ms,
            ..EtcdOptions::new(settings.platform.kv.clone())
        });
        let store_calls = etcd.counts();
        let connectivity = etcd.connectivity();
        let shared = new_shared(&settings, address, Rc::new(etcd), connectivity);
        let SharedState {
            me, clock, store, ..
        } = shared.clone();
        let vms = || VmList::new(&settings.platform.vms, settings.platform.timeout_ms);
        let reader = Rc::new(ConfigReader::new(
            Rc::clone(&store),
            clock,
            Rc::clone(&shared.config),
        ));
        let session = Rc::new(LeaseSession::new(
            Rc::clone(&store),
            clock,
            settings.lease_ms,
        ));
        let budget = Rc::new(LoadBudget::new(clock, me, Rc::clone(&shared.links)));
        let engine_owner = Rc::new(EngineOwner::new(
            clock,
            Rc::clone(&shared.config),
            Rc::clone(&budget),
            OwnerSettings::default(),
        ));
        let holdings = Rc::new(HoldingsWriter::new(Rc::clone(&store)));
        let config_follower = Rc::new(ConfigFollower::new(shared.clone(), Rc::clone(&reader)));
        let fleet_follower = Rc::new(FleetFollower::new(shared.clone()));
        let lease_extension = OutageLeaseExtension::new(shared.clone(), Rc::clone(&session));
        Self {
            me,
            clock,
            registration: Registration::new(Rc::clone(&store), own_record(&settings, me, address)),
            registration_due: ChangeNotifier::new(),
            edits: Rc::new(EditWriter::new(
                Rc::clone(&store),
                clock,
                Rc::clone(&shared.config),
                reader,
            )),
            claims: Rc::new(ClaimStore::new(store, clock, me.to_string())),
            assignment: Assignment::new(
                shared.clone(),
                Rc::clone(&session),
                Rc::clone(&engine_owner),
            ),
            epoch_follower: EpochFollower::new(
                me,
                Rc::clone(&shared.fleet),
                Rc::clone(&budget),
                Rc::clone(&holdings),
            ),
            epochs: EpochManager::new(shared.clone(), vms()),
            bootstrap: Bootstrap {
                me: me.vm,
                port: address.port(),
                vms: vms(),
                state: Rc::clone(&shared.config),
                config: Rc::clone(&config_follower),
                fleet: Rc::clone(&fleet_follower),
            },
            settings,
            session,
            fleet: shared.fleet,
            config: shared.config,
            links: shared.links,
            budget,
            engine_owner,
            holdings,
            config_follower,
            fleet_follower,
            health: Health::new(clock),
            gauges: Gauges::default(),
            leaving: Cell::new(false),
            store_calls,
            connectivity: shared.connectivity,
            lease_extension,
        }
    }

    /// Current status for peers and operators.
    pub fn status(&self) -> ControllerStatus {
        ControllerStatus {
            revision: self.config.revision(),
            gateway_revision: self.config.gateway_revision(),
            epoch: self.budget.epoch().unwrap_or_default(),
            store_up: self.is_store_up(),
            owned: self.engine_owner.owned().len() as u32,
            leaving: self.leaving.get(),
        }
    }

    /// Updates the values of the metrics page.
    pub fn update_gauges(&self) {
        let status = self.status();
        let members = self.fleet.borrow().members.len();
        let rows = [
            (Gauge::Revision, status.revision.0),
            (Gauge::GatewayRevision, status.gateway_revision.0),
            (Gauge::FreshMs, self.config.confirmed_age().0),
            (Gauge::Epoch, status.epoch.0),
            (Gauge::Members, members as u64),
            (Gauge::Owned, u64::from(status.owned)),
            (Gauge::Orders, self.engine_owner.orders()),
            (Gauge::StoreUp, u64::from(status.store_up)),
        ];
        for (gauge, value) in rows {
            self.gauges.set(gauge, value);
        }
    }

    /// Whether the store is reachable, judged by this controller's lease renewals.
    pub fn is_store_up(&self) -> bool {
        let renewal = Millis(self.settings.lease_ms.0 / RENEWALS_PER_TTL);
        self.connectivity
            .is_up(renewal + self.settings.platform.timeout_ms + Millis(500))
    }

    /// Records the gateway that runs on this VM.
    pub fn note_gateway(
        &self,
        gateway: DaemonRecord,
    ) {
        if self.registration.set_gateway(gateway) {
            self.registration_due.raise();
        }
    }
}

fn new_shared(
    settings: &ControllerSettings,
    address: SocketAddr,
    store: Rc<dyn Store>,
    connectivity: StoreConnectivity,
) -> SharedState {
    let clock = MonotonicClock::start();
    let me = Holder {
        vm: settings.vm,
        role: Role::Controller,
        incarnation: Incarnation(unix_millis()),
    };
    SharedState {
        me,
        data_centre: Rc::from(settings.data_centre.as_str()),
        clock,
        store,
        connectivity,
        fleet: Rc::default(),
        config: Rc::new(ConfigState::new(clock)),
        links: Rc::new(PeerLinks::new(me, address)),
    }
}

fn own_record(
    settings: &ControllerSettings,
    me: Holder,
    address: SocketAddr,
) -> MemberRecord {
    MemberRecord {
        vm: me.vm,
        data_centre: settings.data_centre.clone(),
        controller: DaemonRecord {
            incarnation: me.incarnation,
            address,
        },
        gateway: None,
        leaving: false,
    }
}
