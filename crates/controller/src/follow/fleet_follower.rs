use {
    super::{Duty, StoreWatch, WatchEnd},
    crate::{
        clock::Signal,
        fleet::FleetMirror,
        peers::PeerLinks,
        store_keys,
    },
    jasmine_core::{
        clock::Millis,
        ids::{Holder, VmId},
        membership::EPOCH_KEY,
    },
    jasmine_platform::store::{Range, Store, StoreError},
    jasmine_telemetry::log::Line,
    jasmine_wire::link::Backoff,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::time::sleep,
};

/// How long a watcher may hold a question back.
const ASK_WAIT: Millis = Millis(3_000);

/// The first and the longest pause after failures.
const PAUSES: (Millis, Millis) = (Millis(250), Millis(5_000));

/// Follows members, owners and the epoch: by a watch on duty, else from a watcher.
pub struct FleetFollower {
    store: Rc<dyn Store>,
    me: Holder,
    data_centre: String,
    fleet: Rc<RefCell<FleetMirror>>,
    links: Rc<PeerLinks>,
    changed: Signal,
    synced: Cell<bool>,
    read: Cell<bool>,
}

impl std::fmt::Debug for FleetFollower {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("FleetFollower")
            .field("synced", &self.synced)
            .finish_non_exhaustive()
    }
}

impl FleetFollower {
    /// A follower that has heard nothing yet.
    pub fn new(
        store: Rc<dyn Store>,
        me: Holder,
        data_centre: String,
        fleet: Rc<RefCell<FleetMirror>>,
        links: Rc<PeerLinks>,
    ) -> Self {
        let changed = fleet.borrow().changed.clone();
        Self {
            store,
            me,
            data_centre,
            fleet,
            links,
            changed,
            synced: Cell::new(false),
            read: Cell::new(false),
        }
    }

    /// Whether the mirror follows the store itself, holdings included.
    pub const fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// Whether the fleet has been read at least once, from wherever.
    pub const fn is_read(&self) -> bool {
        self.read.get()
    }

    /// Follows until the future is dropped.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(PAUSES.0, PAUSES.1);
        loop {
            if self.read.get() && !self.duty().is_watcher(self.me.vm) {
                self.synced.set(false);
                self.relay().await;
            }
            match self.watch().await {
                Ok(()) => backoff.reset(),
                Err(e) => {
                    Line::new("fleet_not_followed").with("error", e).warn();
                    self.synced.set(false);
                    sleep(backoff.next_pause().to_std()).await;
                }
            }
        }
    }

    /// Reads everything, then follows it while on duty, from connection to connection.
    async fn watch(&self) -> Result<(), StoreError> {
        let reply = self.store.range(store_keys::fleet()).await?;
        self.fleet.borrow_mut().reset(&reply.kvs);
        self.links_follow();
        self.read.set(true);
        self.synced.set(true);
        let mut watch = StoreWatch::new(
            Rc::clone(&self.store),
            store_keys::fleet(),
            reply.revision,
        );
        loop {
            let ended = watch
                .run_once(|event| {
                    self.fleet.borrow_mut().apply(event);
                    self.links_follow();
                })
                .await?;
            if ended == WatchEnd::Compacted || !self.duty().is_watcher(self.me.vm) {
                return Ok(());
            }
        }
    }

    /// Asks the watchers for as long as one of them answers and this VM is not on duty.
    async fn relay(&self) {
        let mut have = (None, 0);
        loop {
            let duty = self.duty();
            if duty.is_watcher(self.me.vm) {
                return;
            }
            let mut told = false;
            for vm in duty.ask_order(self.me.vm) {
                if let Some(seq) = self.ask(vm, have).await {
                    have = (Some(vm), seq);
                    told = true;
                    break;
                }
            }
            if !told {
                return;
            }
        }
    }

    async fn ask(
        &self,
        vm: VmId,
        have: (Option<VmId>, u64),
    ) -> Option<u64> {
        let address = self.links.address(vm)?;
        let have = if have.0 == Some(vm) { have.1 } else { 0 };
        self.ask_address(address, have, ASK_WAIT).await
    }

    /// Asks one controller for the fleet; the number of the change that it told.
    pub async fn ask_address(
        &self,
        address: SocketAddr,
        have: u64,
        wait: Millis,
    ) -> Option<u64> {
        let answer = self.links.poll_fleet(address, have, wait).await.ok()?;
        // An empty list comes from a controller that has read nothing itself.
        if answer.members.is_empty() {
            return None;
        }
        self.fleet
            .borrow_mut()
            .relay(answer.members, answer.owners);
        self.links_follow();
        let known = self.fleet.borrow().epoch.as_ref().map(|epoch| {
            (epoch.value.epoch, epoch.value.closing)
        });
        if known != Some((answer.epoch, answer.closing)) {
            self.read_epoch().await;
        }
        Some(answer.seq)
    }

    /// Reads the epoch's record: what it grants to each holder isn't relayed.
    async fn read_epoch(&self) {
        if let Ok(reply) = self.store.range(Range::key(EPOCH_KEY)).await {
            if let Some(kv) = reply.kvs.first() {
                self.fleet.borrow_mut().set_epoch(kv);
            }
        }
    }

    fn links_follow(&self) {
        self.links.set_members(self.fleet.borrow().members.values());
    }

    fn duty(&self) -> Duty {
        Duty::among(&self.data_centre, self.fleet.borrow().members.values())
    }

    /// Raised with each change of the fleet.
    pub const fn changed(&self) -> &Signal {
        &self.changed
    }
}
