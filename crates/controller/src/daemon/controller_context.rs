use {
    super::ControllerStatus,
    crate::{
        claims::ClaimDesk,
        clock::{OwnClock, Signal, unix_millis},
        config::{ConfigKeeper, ConfigStore, EditDesk},
        epochs::{EpochKeeper, HoldingsDesk, OwnEpoch},
        fleet::{DaemonRecord, FleetMirror, MemberRecord, Registration},
        follow::{Bootstrap, ConfigFollower, FleetFollower},
        ownership::{Assignment, OutageLease, OwnerDesk},
        peers::PeerLinks,
        rights::LoadBudget,
        session::{LeaseSession, RENEWALS},
        shared::SharedParts,
        status::{Figure, Figures, Health},
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

/// Everything that a running controller consists of.
///
/// It lives on one thread, as the connections between daemons do; the status port and operators'
/// HTTP reach it from other threads through [`Health`] and messages.
#[derive(Debug)]
pub struct ControllerContext {
    /// This run of this daemon.
    pub me: Holder,
    /// The settings.
    pub settings: ControllerSettings,
    /// This process's clock.
    pub clock: OwnClock,
    /// The lease in the store.
    pub session: Rc<LeaseSession>,
    /// This VM's own record.
    pub registration: Registration,
    /// Raised when the record has changed.
    pub registration_due: Signal,
    /// The fleet as the store tells it.
    pub fleet: Rc<RefCell<FleetMirror>>,
    /// The configuration in force.
    pub config: Rc<ConfigKeeper>,
    /// Writes operators' edits.
    pub edits: Rc<EditDesk>,
    /// Idempotency keys in use.
    pub claims: Rc<ClaimDesk>,
    /// Links to other controllers.
    pub links: Rc<PeerLinks>,
    /// This controller's part of the weight store's rate.
    pub budget: Rc<LoadBudget>,
    /// The engines owned here.
    pub desk: Rc<OwnerDesk>,
    /// Takes and hands over engines.
    pub assignment: Assignment,
    /// Writes holders' reports.
    pub holdings: Rc<HoldingsDesk>,
    /// Takes this controller's rights from epoch to epoch.
    pub own_epoch: OwnEpoch,
    /// Moves the epoch on.
    pub epochs: EpochKeeper,
    /// Follows the configuration.
    pub config_follower: Rc<ConfigFollower>,
    /// Follows the fleet.
    pub fleet_follower: Rc<FleetFollower>,
    /// Asks others while the store is out and nothing is known.
    pub bootstrap: Bootstrap,
    /// What the status port shows.
    pub health: Health,
    /// What the metrics page shows.
    pub figures: Figures,
    /// Whether this controller is about to stop.
    pub leaving: Cell<bool>,
    /// Calls made to the store.
    pub store_calls: CallCounts,
    /// Whether the store answers.
    pub connectivity: StoreConnectivity,
    /// Extends what may be ordered while the store is out for everybody.
    pub outage: OutageLease,
}

impl ControllerContext {
    /// The parts of a controller that others reach at `address`.
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
        let shared = share(&settings, address, Rc::new(etcd), connectivity);
        let SharedParts {
            me, clock, store, ..
        } = shared.clone();
        let vms = || VmList::new(&settings.platform.vms, settings.platform.timeout_ms);
        let reader = Rc::new(ConfigStore::new(
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
        let desk = Rc::new(OwnerDesk::new(
            clock,
            Rc::clone(&shared.config),
            Rc::clone(&budget),
            OwnerSettings::default(),
        ));
        let holdings = Rc::new(HoldingsDesk::new(Rc::clone(&store)));
        let config_follower = Rc::new(ConfigFollower::new(shared.clone(), Rc::clone(&reader)));
        let fleet_follower = Rc::new(FleetFollower::new(shared.clone()));
        let outage = OutageLease::new(shared.clone(), Rc::clone(&session));
        Self {
            me,
            clock,
            registration: Registration::new(Rc::clone(&store), own_record(&settings, me, address)),
            registration_due: Signal::new(),
            edits: Rc::new(EditDesk::new(
                Rc::clone(&store),
                clock,
                Rc::clone(&shared.config),
                reader,
            )),
            claims: Rc::new(ClaimDesk::new(store, clock, me.to_string())),
            assignment: Assignment::new(shared.clone(), Rc::clone(&session), Rc::clone(&desk)),
            own_epoch: OwnEpoch::new(
                me,
                Rc::clone(&shared.fleet),
                Rc::clone(&budget),
                Rc::clone(&holdings),
            ),
            epochs: EpochKeeper::new(shared.clone(), vms()),
            bootstrap: Bootstrap {
                me: me.vm,
                port: address.port(),
                vms: vms(),
                keeper: Rc::clone(&shared.config),
                config: Rc::clone(&config_follower),
                fleet: Rc::clone(&fleet_follower),
            },
            settings,
            session,
            fleet: shared.fleet,
            config: shared.config,
            links: shared.links,
            budget,
            desk,
            holdings,
            config_follower,
            fleet_follower,
            health: Health::new(clock),
            figures: Figures::default(),
            leaving: Cell::new(false),
            store_calls,
            connectivity: shared.connectivity,
            outage,
        }
    }

    /// How far this controller is.
    pub fn status(&self) -> ControllerStatus {
        ControllerStatus {
            revision: self.config.revision(),
            gateway_revision: self.config.gateway_revision(),
            epoch: self.budget.epoch().unwrap_or_default(),
            store_up: self.is_store_up(),
            owned: self.desk.owned().len() as u32,
            leaving: self.leaving.get(),
        }
    }

    /// Brings the figures of the metrics page up to date.
    pub fn note_figures(&self) {
        let status = self.status();
        let members = self.fleet.borrow().members.len();
        let rows = [
            (Figure::Revision, status.revision.0),
            (Figure::GatewayRevision, status.gateway_revision.0),
            (Figure::FreshMs, self.config.fresh().0),
            (Figure::Epoch, status.epoch.0),
            (Figure::Members, members as u64),
            (Figure::Owned, u64::from(status.owned)),
            (Figure::Orders, self.desk.orders()),
            (Figure::StoreUp, u64::from(status.store_up)),
        ];
        for (figure, value) in rows {
            self.figures.set(figure, value);
        }
    }

    /// Whether the store answers: every controller renews its lease there, however it follows the rest.
    pub fn is_store_up(&self) -> bool {
        let renewal = Millis(self.settings.lease_ms.0 / RENEWALS);
        self.connectivity
            .is_up(renewal + self.settings.platform.timeout_ms + Millis(500))
    }

    /// Notes which gateway runs on this VM.
    pub fn note_gateway(
        &self,
        gateway: DaemonRecord,
    ) {
        if self.registration.set_gateway(gateway) {
            self.registration_due.raise();
        }
    }
}

fn share(
    settings: &ControllerSettings,
    address: SocketAddr,
    store: Rc<dyn Store>,
    connectivity: StoreConnectivity,
) -> SharedParts {
    let clock = OwnClock::start();
    let me = Holder {
        vm: settings.vm,
        role: Role::Controller,
        incarnation: Incarnation(unix_millis()),
    };
    SharedParts {
        me,
        data_centre: Rc::from(settings.data_centre.as_str()),
        clock,
        store,
        connectivity,
        fleet: Rc::default(),
        config: Rc::new(ConfigKeeper::new(clock)),
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
