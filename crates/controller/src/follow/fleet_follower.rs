use {
    super::{StoreWatch, WatchEnd},
    crate::{clock::ChangeNotifier, shared::SharedState, store_keys},
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

/// How long a watcher may delay its reply while nothing changes.
const LONG_POLL_TIMEOUT: Millis = Millis(3_000);

/// Most peers polled, one after the other, while the store is unreachable.
const MAX_PEERS_POLLED: usize = 3;

/// Initial and maximum delay of the retry backoff.
const RETRY_DELAYS: (Millis, Millis) = (Millis(250), Millis(5_000));

/// Tracks members, owners and the epoch by watching the store or polling a watcher.
#[derive(Debug)]
pub struct FleetFollower {
    shared: SharedState,
    changed: ChangeNotifier,
    synced: Cell<bool>,
    has_read: Cell<bool>,
    /// Epoch last reported by a peer, and whether it was closing.
    reported: Cell<(Epoch, bool)>,
}

impl FleetFollower {
    /// Creates a follower that has not read the fleet yet.
    pub fn new(shared: SharedState) -> Self {
        let changed = shared.fleet.borrow().changed.clone();
        Self {
            shared,
            changed,
            synced: Cell::new(false),
            has_read: Cell::new(false),
            reported: Cell::default(),
        }
    }

    /// Whether the fleet state, including holdings, is read directly from the store.
    pub const fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// Whether the fleet has been read at least once, from the store or a peer.
    pub const fn is_read(&self) -> bool {
        self.has_read.get()
    }

    /// Tracks the fleet until the future is dropped.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1);
        loop {
            if self.has_read.get() && !self.shared.watchers().is_watcher(self.shared.me.vm) {
                self.synced.set(false);
                self.poll_until_watcher().await;
            }
            match self.watch().await {
                Ok(()) => backoff.reset(),
                Err(e) => {
                    Line::new("fleet_not_followed").with("error", e).warn();
                    self.synced.set(false);
                    self.poll_connected_peer().await;
                    sleep(backoff.next_delay().to_std()).await;
                }
            }
        }
    }

    /// Reads the fleet and watches it, reconnecting, while this VM is a watcher.
    async fn watch(&self) -> Result<(), StoreError> {
        let reply = self.shared.store.range(store_keys::fleet()).await?;
        self.shared.fleet.borrow_mut().reset(&reply.kvs);
        self.update_links();
        self.has_read.set(true);
        self.synced.set(true);
        let mut watch = StoreWatch::new(
            Rc::clone(&self.shared.store),
            store_keys::fleet(),
            reply.revision,
        );
        loop {
            let follow = watch.run_once(|event| {
                self.shared.fleet.borrow_mut().apply(event);
                self.update_links();
            });
            let ended = tokio::select! {
                ended = follow => ended?,
                () = self.shared.stopped_watching() => return Ok(()),
            };
            if ended == WatchEnd::Compacted {
                return Ok(());
            }
        }
    }

    /// Polls the watchers until none replies or this VM becomes a watcher.
    async fn poll_until_watcher(&self) {
        let mut have = (None, 0);
        loop {
            let watchers = self.shared.watchers();
            if watchers.is_watcher(self.shared.me.vm) {
                return;
            }
            let mut has_reply = false;
            for vm in watchers.poll_order(self.shared.me.vm) {
                if let Some(seq) = self.poll(vm, have).await {
                    have = (Some(vm), seq);
                    has_reply = true;
                    break;
                }
            }
            if !has_reply {
                return;
            }
        }
    }

    /// Polls a peer that can reach the store while this VM can't.
    ///
    /// Otherwise a VM partitioned from the store would keep using stale owners and members.
    async fn poll_connected_peer(&self) {
        let peers: Vec<VmId> = {
            let fleet = self.shared.fleet.borrow();
            let others = fleet.members.keys().copied();
            let others: Vec<_> = others.filter(|&vm| vm != self.shared.me.vm).collect();
            others
                .choose_multiple(&mut rand::rng(), MAX_PEERS_POLLED)
                .copied()
                .collect()
        };
        for vm in peers {
            let status = self.shared.links.status(vm).await;
            let is_connected = status.is_ok_and(|status| status.store_up);
            if is_connected && self.poll(vm, (None, 0)).await.is_some() {
                return;
            }
        }
    }

    async fn poll(
        &self,
        vm: VmId,
        have: (Option<VmId>, u64),
    ) -> Option<u64> {
        let address = self.shared.links.address(vm)?;
        let have = if have.0 == Some(vm) { have.1 } else { 0 };
        self.poll_address(address, have, LONG_POLL_TIMEOUT).await
    }

    /// Polls one peer for the fleet and returns the sequence number of its reply.
    pub async fn poll_address(
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
            self.read_epoch(self.reported.get()).await;
            return Some(have);
        }
        // A peer that has not read the fleet itself replies with an empty list.
        if answer.members.is_empty() {
            return None;
        }
        self.shared
            .fleet
            .borrow_mut()
            .relay(answer.members, answer.owners);
        self.update_links();
        let reported = (answer.epoch, answer.closing);
        self.reported.set(reported);
        self.read_epoch(reported).await;
        Some(answer.seq)
    }

    /// Reads the epoch record unless it is known; peers do not relay its grants.
    async fn read_epoch(
        &self,
        reported: (Epoch, bool),
    ) {
        let known = self
            .shared
            .fleet
            .borrow()
            .epoch
            .as_ref()
            .map(|epoch| (epoch.value.epoch, epoch.value.closing));
        if known == Some(reported) {
            return;
        }
        let reply = self.shared.store.range(Range::key(EPOCH_KEY)).await;
        if let Some(kv) = reply.unwrap_or_default().kvs.first() {
            self.shared.fleet.borrow_mut().set_epoch(kv);
        }
    }

    fn update_links(&self) {
        self.shared
            .links
            .set_members(self.shared.fleet.borrow().members.values());
    }

    /// Raised on each change of the fleet.
    pub const fn changed(&self) -> &ChangeNotifier {
        &self.changed
    }
}
