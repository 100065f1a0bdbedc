use {
    super::{StoreWatch, WatchEnd},
    crate::{clock::Signal, shared::SharedParts, store_keys},
    jasmine_core::{
        clock::Millis,
        ids::{Epoch, VmId},
        membership::EPOCH_KEY,
    },
    jasmine_store::store::{Range, StoreError},
    jasmine_telemetry::log::Line,
    jasmine_wire::link::Backoff,
    rand::seq::IndexedRandom,
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    tokio::time::sleep,
};

/// How long a watcher may hold a question back.
const ASK_WAIT: Millis = Millis(3_000);

/// Controllers asked one after the other while the store can't be reached.
const ASKED: usize = 3;

/// The first and the longest pause after failures.
const PAUSES: (Millis, Millis) = (Millis(250), Millis(5_000));

/// Follows members, owners and the epoch: by a watch on duty, else from a watcher.
#[derive(Debug)]
pub struct FleetFollower {
    shared: SharedParts,
    changed: Signal,
    synced: Cell<bool>,
    read: Cell<bool>,
    /// The epoch that another controller told last, and whether it was closing.
    told: Cell<(Epoch, bool)>,
}

impl FleetFollower {
    /// A follower that has heard nothing yet.
    pub fn new(shared: SharedParts) -> Self {
        let changed = shared.fleet.borrow().changed.clone();
        Self {
            shared,
            changed,
            synced: Cell::new(false),
            read: Cell::new(false),
            told: Cell::default(),
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
            if self.read.get() && !self.shared.duty().is_watcher(self.shared.me.vm) {
                self.synced.set(false);
                self.relay().await;
            }
            match self.watch().await {
                Ok(()) => backoff.reset(),
                Err(e) => {
                    Line::new("fleet_not_followed").with("error", e).warn();
                    self.synced.set(false);
                    self.ask_who_reaches().await;
                    sleep(backoff.next_delay().to_std()).await;
                }
            }
        }
    }

    /// Reads everything, then follows it while on duty, from connection to connection.
    async fn watch(&self) -> Result<(), StoreError> {
        let reply = self.shared.store.range(store_keys::fleet()).await?;
        self.shared.fleet.borrow_mut().reset(&reply.kvs);
        self.links_follow();
        self.read.set(true);
        self.synced.set(true);
        let mut watch = StoreWatch::new(
            Rc::clone(&self.shared.store),
            store_keys::fleet(),
            reply.revision,
        );
        loop {
            let follow = watch.run_once(|event| {
                self.shared.fleet.borrow_mut().apply(event);
                self.links_follow();
            });
            let ended = tokio::select! {
                ended = follow => ended?,
                () = self.shared.off_duty() => return Ok(()),
            };
            if ended == WatchEnd::Compacted {
                return Ok(());
            }
        }
    }

    /// Asks the watchers for as long as one of them answers and this VM is not on duty.
    async fn relay(&self) {
        let mut have = (None, 0);
        loop {
            let duty = self.shared.duty();
            if duty.is_watcher(self.shared.me.vm) {
                return;
            }
            let mut told = false;
            for vm in duty.ask_order(self.shared.me.vm) {
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

    /// Asks another controller that reaches the store while this one doesn't.
    ///
    /// A VM that alone is cut off from the store would otherwise go on with owners and members that
    /// the others have replaced. One that is cut off as well has nothing newer to tell.
    async fn ask_who_reaches(&self) {
        let asked: Vec<VmId> = {
            let fleet = self.shared.fleet.borrow();
            let others = fleet.members.keys().copied();
            let others: Vec<_> = others.filter(|&vm| vm != self.shared.me.vm).collect();
            others
                .choose_multiple(&mut rand::rng(), ASKED)
                .copied()
                .collect()
        };
        for vm in asked {
            let status = self.shared.links.status(vm).await;
            let reaches = status.is_ok_and(|status| status.store_up);
            if reaches && self.ask(vm, (None, 0)).await.is_some() {
                return;
            }
        }
    }

    async fn ask(
        &self,
        vm: VmId,
        have: (Option<VmId>, u64),
    ) -> Option<u64> {
        let address = self.shared.links.address(vm)?;
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
        let answer = self
            .shared
            .links
            .poll_fleet(address, have, wait)
            .await
            .ok()?;
        if have != 0 && answer.seq == have {
            self.read_epoch_of(self.told.get()).await;
            return Some(have);
        }
        // An empty list comes from a controller that has read nothing itself.
        if answer.members.is_empty() {
            return None;
        }
        self.shared
            .fleet
            .borrow_mut()
            .relay(answer.members, answer.owners);
        self.links_follow();
        let told = (answer.epoch, answer.closing);
        self.told.set(told);
        self.read_epoch_of(told).await;
        Some(answer.seq)
    }

    /// Reads the epoch's record unless it is here already: what it grants to each holder isn't relayed.
    async fn read_epoch_of(
        &self,
        told: (Epoch, bool),
    ) {
        let known = self
            .shared
            .fleet
            .borrow()
            .epoch
            .as_ref()
            .map(|epoch| (epoch.value.epoch, epoch.value.closing));
        if known == Some(told) {
            return;
        }
        let reply = self.shared.store.range(Range::key(EPOCH_KEY)).await;
        if let Some(kv) = reply.unwrap_or_default().kvs.first() {
            self.shared.fleet.borrow_mut().set_epoch(kv);
        }
    }

    fn links_follow(&self) {
        self.shared
            .links
            .set_members(self.shared.fleet.borrow().members.values());
    }

    /// Raised with each change of the fleet.
    pub const fn changed(&self) -> &Signal {
        &self.changed
    }
}
