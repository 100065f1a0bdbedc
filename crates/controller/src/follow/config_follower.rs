use {
    super::{StoreWatch, WatchEnd, WatcherSet},
    crate::{
        config::{ApplyOutcome, ConfigReader, edit_range_end},
        shared::SharedState,
    },
    jasmine_conf::store_layout::edit_key,
    jasmine_core::{clock::Millis, ids::VmId},
    jasmine_store::store::{Range, WatchEvent},
    jasmine_telemetry::log::Line,
    jasmine_wire::link::Backoff,
    rand::seq::IndexedRandom,
    std::{cell::Cell, net::SocketAddr, rc::Rc},
    tokio::time::sleep,
};

/// Interval at which a watcher reads the store for newer edits.
const CONFIRM_INTERVAL: Millis = Millis(1_000);

/// How long a peer may delay its reply while nothing changes.
const LONG_POLL_TIMEOUT: Millis = Millis(1_000);

/// Upper bound of the retry backoff.
const MAX_RETRY_DELAY: Millis = Millis(5_000);

/// Keeps the configuration current: watchers read the store, other VMs poll a watcher.
#[derive(Debug)]
pub struct ConfigFollower {
    shared: SharedState,
    reader: Rc<ConfigReader>,
    poll_count: Cell<usize>,
}

impl ConfigFollower {
    /// Creates a follower that updates the shared configuration.
    pub const fn new(
        shared: SharedState,
        reader: Rc<ConfigReader>,
    ) -> Self {
        Self {
            shared,
            reader,
            poll_count: Cell::new(0),
        }
    }

    /// Polls a watcher, or reads the store if this VM is a watcher or no watcher replies.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(CONFIRM_INTERVAL, MAX_RETRY_DELAY);
        loop {
            let watchers = self.shared.watchers();
            let is_watcher = watchers.is_watcher(self.shared.me.vm);
            if !is_watcher && self.poll_watchers(&watchers).await {
                backoff.reset();
                continue;
            }
            // Falls back to any peer when the store is unavailable.
            let pause = if self.pull().await {
                backoff.reset();
                CONFIRM_INTERVAL
            } else {
                self.poll_any_peer().await;
                backoff.next_delay()
            };
            sleep(pause.to_std()).await;
        }
    }

    /// Watches the edit records while this VM is a watcher.
    pub async fn watch(&self) {
        let mut backoff = Backoff::new(CONFIRM_INTERVAL, MAX_RETRY_DELAY);
        loop {
            if !self.shared.config.is_loaded()
                || !self.shared.watchers().is_watcher(self.shared.me.vm)
            {
                sleep(CONFIRM_INTERVAL.to_std()).await;
                continue;
            }
            let range = Range::between(
                edit_key(self.shared.config.revision().next()),
                edit_range_end(),
            );
            // Edits between the last read and the start of the watch arrive with the next read.
            let mut watch = StoreWatch::from_now(Rc::clone(&self.shared.store), range);
            let ended = tokio::select! {
                ended = watch.run_once(|event| self.take(event)) => ended,
                () = self.shared.stopped_watching() => continue,
            };
            match ended {
                Ok(WatchEnd::Ended | WatchEnd::Compacted) => backoff.reset(),
                Err(e) => {
                    Line::new("config_watch_broken").with("error", e).warn();
                    sleep(backoff.next_delay().to_std()).await;
                }
            }
        }
    }

    fn take(
        &self,
        event: &WatchEvent,
    ) {
        if let WatchEvent::Put(kv) = event {
            // Missing edits arrive with the next read.
            let _applied = self.reader.take(kv);
        }
    }

    async fn pull(&self) -> bool {
        match self.reader.pull().await {
            Ok(()) => true,
            Err(e) => {
                Line::new("config_not_read").with("error", e).warn();
                false
            }
        }
    }

    async fn poll_watchers(
        &self,
        watchers: &WatcherSet,
    ) -> bool {
        for vm in watchers.poll_order(self.shared.me.vm) {
            match self.shared.links.address(vm) {
                Some(address) if self.poll(address, LONG_POLL_TIMEOUT).await => return true,
                _ => {}
            }
        }
        false
    }

    /// Polls one peer of any data centre.
    async fn poll_any_peer(&self) {
        let others: Vec<VmId> = {
            let fleet = self.shared.fleet.borrow();
            fleet
                .members
                .keys()
                .copied()
                .filter(|&vm| vm != self.shared.me.vm)
                .collect()
        };
        let chosen = match self.poll_count.replace(self.poll_count.get() + 1) {
            // The first attempt uses the first peer in the list, later ones a random peer.
            0 => others.first(),
            _ => others.choose(&mut rand::rng()),
        };
        if let Some(address) = chosen.and_then(|&vm| self.shared.links.address(vm)) {
            self.poll(address, Millis::ZERO).await;
        }
    }

    /// Polls one peer and returns whether it replied with a usable configuration.
    pub async fn poll(
        &self,
        address: SocketAddr,
        wait: Millis,
    ) -> bool {
        let sent = self.shared.clock.now();
        let have = self.shared.config.revision();
        let Ok(answer) = self.shared.links.poll_config(address, have, wait).await else {
            return false;
        };
        let applied = match answer.body.as_slice() {
            [] => ApplyOutcome::Stale,
            body => self.shared.config.apply_body(body, answer.full),
        };
        // Measured from the time of sending, since the reply may have been delayed.
        match sent.0.checked_sub(answer.confirmed_age.0) {
            Some(at) if self.shared.config.revision() == answer.revision => {
                self.shared.config.confirm(Millis(at));
            }
            _ => {}
        }
        applied != ApplyOutcome::Gap && answer.revision >= have && self.shared.config.is_loaded()
    }
}
