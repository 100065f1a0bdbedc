use {
    super::{Duty, StoreWatch, WatchEnd},
    crate::{
        config::{Applied, ConfigStore, edits_end},
        shared::SharedParts,
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

/// How often a watcher has the store confirm that there is nothing newer.
const CONFIRM_EVERY: Millis = Millis(1_000);

/// How long another controller may hold a question back.
const ASK_WAIT: Millis = Millis(1_000);

/// The longest pause after failures.
const MOST_PAUSE: Millis = Millis(5_000);

/// Follows the configuration: from the store on a watcher, from a watcher elsewhere.
#[derive(Debug)]
pub struct ConfigFollower {
    shared: SharedParts,
    reader: Rc<ConfigStore>,
    turn: Cell<usize>,
}

impl ConfigFollower {
    /// A follower that fills the shared keeper.
    pub const fn new(
        shared: SharedParts,
        reader: Rc<ConfigStore>,
    ) -> Self {
        Self {
            shared,
            reader,
            turn: Cell::new(0),
        }
    }

    /// Reads and confirms: from the store on duty, else from a watcher, else from both.
    pub async fn run(&self) {
        let mut backoff = Backoff::new(CONFIRM_EVERY, MOST_PAUSE);
        loop {
            let duty = self.shared.duty();
            let is_watcher = duty.is_watcher(self.shared.me.vm);
            if !is_watcher && self.ask_watchers(&duty).await {
                backoff.reset();
                continue;
            }
            // On duty, or no watcher answers: the store itself, and others when it is silent.
            let pause = if self.pull().await {
                backoff.reset();
                CONFIRM_EVERY
            } else {
                self.ask_anybody().await;
                backoff.next_delay()
            };
            sleep(pause.to_std()).await;
        }
    }

    /// Watches the records of edits while on duty, so that an edit is known at once.
    pub async fn watch(&self) {
        let mut backoff = Backoff::new(CONFIRM_EVERY, MOST_PAUSE);
        loop {
            if !self.shared.config.is_loaded() || !self.shared.duty().is_watcher(self.shared.me.vm)
            {
                sleep(CONFIRM_EVERY.to_std()).await;
                continue;
            }
            let range = Range::between(edit_key(self.shared.config.revision().next()), edits_end());
            // What came between the last read and now is brought by the next read.
            let mut watch = StoreWatch::from_now(Rc::clone(&self.shared.store), range);
            let ended = tokio::select! {
                ended = watch.run_once(|event| self.take(event)) => ended,
                () = self.shared.off_duty() => continue,
            };
            match ended {
                Ok(WatchEnd::Over | WatchEnd::Compacted) => backoff.reset(),
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
            // A gap is closed by the next read, within a second.
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

    async fn ask_watchers(
        &self,
        duty: &Duty,
    ) -> bool {
        for vm in duty.ask_order(self.shared.me.vm) {
            match self.shared.links.address(vm) {
                Some(address) if self.ask(address, ASK_WAIT).await => return true,
                _ => {}
            }
        }
        false
    }

    /// Asks one other controller of any data centre, another one each time.
    async fn ask_anybody(&self) {
        let others: Vec<VmId> = {
            let fleet = self.shared.fleet.borrow();
            fleet
                .members
                .keys()
                .copied()
                .filter(|&vm| vm != self.shared.me.vm)
                .collect()
        };
        let chosen = match self.turn.replace(self.turn.get() + 1) {
            // The first turn goes to a neighbour in the list, later ones anywhere.
            0 => others.first(),
            _ => others.choose(&mut rand::rng()),
        };
        if let Some(address) = chosen.and_then(|&vm| self.shared.links.address(vm)) {
            self.ask(address, Millis::ZERO).await;
        }
    }

    /// Asks one controller; whether it answered with a configuration.
    pub async fn ask(
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
            [] => Applied::Old,
            body => self.shared.config.take_body(body, answer.full),
        };
        // The other's word counts from when the question was sent: its answer may have lain about.
        match sent.0.checked_sub(answer.fresh.0) {
            Some(at) if self.shared.config.revision() == answer.revision => {
                self.shared.config.confirm(Millis(at));
            }
            _ => {}
        }
        applied != Applied::Gap && answer.revision >= have && self.shared.config.is_loaded()
    }
}
