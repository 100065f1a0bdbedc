use {
    std::sync::atomic::{AtomicBool, AtomicU64, Ordering},
    tokio::sync::Notify,
};

/// What all threads need to know of the daemon's state.
#[derive(Debug, Default)]
pub struct Readiness {
    confirmed: AtomicBool,
    settled: AtomicBool,
    unready: AtomicBool,
    stopping: AtomicBool,
    in_flight: AtomicU64,
    cut_off: AtomicBool,
    cut: Notify,
    stop: Notify,
}

impl Readiness {
    /// Sets whether the configuration is confirmed.
    pub fn set_confirmed(
        &self,
        confirmed: bool,
    ) {
        self.confirmed.store(confirmed, Ordering::Relaxed);
    }

    /// Whether there is a configuration and it is confirmed.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Sets whether rights can be got at.
    pub fn set_settled(
        &self,
        settled: bool,
    ) {
        self.settled.store(settled, Ordering::Relaxed);
    }

    /// Tells balancers to send nothing more.
    pub fn leave_balancers(&self) {
        self.unready.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon is about to stop.
    pub fn is_leaving(&self) -> bool {
        self.unready.load(Ordering::Relaxed)
    }

    /// Whether balancers may send requests.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed()
            && self.settled.load(Ordering::Relaxed)
            && !self.unready.load(Ordering::Relaxed)
    }

    /// Admits nothing any more.
    pub fn stop_admitting(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether nothing is admitted any more.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Asks for a planned stop, so that a new run can begin.
    pub fn ask_to_stop(&self) {
        self.stop.notify_one();
    }

    /// Waits until a planned stop is asked for.
    pub async fn until_asked_to_stop(&self) {
        self.stop.notified().await;
    }

    /// Ends what still runs.
    pub fn cut_off(&self) {
        self.cut_off.store(true, Ordering::SeqCst);
        self.cut.notify_waiters();
    }

    /// Waits until what still runs is to be ended.
    pub async fn until_cut_off(&self) {
        let cut = self.cut.notified();
        if !self.cut_off.load(Ordering::SeqCst) {
            cut.await;
        }
    }

    /// Counts one more request, unless there are `limit` already.
    pub fn enter(
        &self,
        limit: u64,
    ) -> bool {
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let has_room = before < limit;
        if !has_room {
            self.leave();
        }
        has_room
    }

    /// Counts one request less.
    pub fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests that are being worked on.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}
