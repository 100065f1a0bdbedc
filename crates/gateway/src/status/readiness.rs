use {
    std::sync::atomic::{AtomicBool, AtomicU64, Ordering},
    tokio::sync::Notify,
};

/// What all threads need to know of the daemon's state.
#[derive(Debug, Default)]
pub struct Readiness {
    confirmed: AtomicBool,
    rights_available: AtomicBool,
    draining: AtomicBool,
    admission_stopped: AtomicBool,
    in_flight: AtomicU64,
    aborted: AtomicBool,
    abort_notify: Notify,
    stop_notify: Notify,
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
        self.rights_available.store(settled, Ordering::Relaxed);
    }

    /// Tells balancers to send nothing more.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether this daemon is about to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether balancers may send requests.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed()
            && self.rights_available.load(Ordering::Relaxed)
            && !self.draining.load(Ordering::Relaxed)
    }

    /// Admits nothing any more.
    pub fn stop_admitting(&self) {
        self.admission_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether nothing is admitted any more.
    pub fn is_stopping(&self) -> bool {
        self.admission_stopped.load(Ordering::Relaxed)
    }

    /// Asks for a planned stop, so that a new run can begin.
    pub fn ask_to_stop(&self) {
        self.stop_notify.notify_one();
    }

    /// Waits until a planned stop is asked for.
    pub async fn until_stop_requested(&self) {
        self.stop_notify.notified().await;
    }

    /// Ends what still runs.
    pub fn abort_requests(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        self.abort_notify.notify_waiters();
    }

    /// Waits until what still runs is to be ended.
    pub async fn until_aborted(&self) {
        let abort_notify = self.abort_notify.notified();
        if !self.aborted.load(Ordering::SeqCst) {
            abort_notify.await;
        }
    }

    /// Counts one more request, unless there are `limit` already.
    pub fn try_begin_request(
        &self,
        limit: u64,
    ) -> bool {
        let previous = self.in_flight.fetch_add(1, Ordering::Relaxed);
        let is_below_limit = previous < limit;
        if !is_below_limit {
            self.end_request();
        }
        is_below_limit
    }

    /// Counts one request less.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests that are being worked on.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}
