use {
    std::sync::atomic::{AtomicBool, AtomicU64, Ordering},
    tokio::sync::Notify,
};

/// Readiness and shutdown state of the daemon, shared by all threads.
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
    /// Sets whether the configuration is confirmed as current.
    pub fn set_confirmed(
        &self,
        is_confirmed: bool,
    ) {
        self.confirmed.store(is_confirmed, Ordering::Relaxed);
    }

    /// Whether a configuration is present and confirmed as current.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Relaxed)
    }

    /// Sets whether the rights for admission are available.
    pub fn set_rights_available(
        &self,
        is_available: bool,
    ) {
        self.rights_available.store(is_available, Ordering::Relaxed);
    }

    /// Reports the daemon as not ready, so that load balancers stop sending requests.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether a shutdown has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Whether load balancers may send requests.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed()
            && self.rights_available.load(Ordering::Relaxed)
            && !self.draining.load(Ordering::Relaxed)
    }

    /// Stops the admission of new requests.
    pub fn stop_admitting(&self) {
        self.admission_stopped.store(true, Ordering::Relaxed);
    }

    /// Whether the admission of new requests has stopped.
    pub fn is_stopping(&self) -> bool {
        self.admission_stopped.load(Ordering::Relaxed)
    }

    /// Requests a planned shutdown, after which the process is restarted.
    pub fn request_stop(&self) {
        self.stop_notify.notify_one();
    }

    /// Waits until a planned shutdown is requested.
    pub async fn until_stop_requested(&self) {
        self.stop_notify.notified().await;
    }

    /// Aborts all requests in flight.
    pub fn abort_requests(&self) {
        self.aborted.store(true, Ordering::SeqCst);
        self.abort_notify.notify_waiters();
    }

    /// Waits until requests in flight must be aborted.
    pub async fn until_aborted(&self) {
        let abort_notify = self.abort_notify.notified();
        if !self.aborted.load(Ordering::SeqCst) {
            abort_notify.await;
        }
    }

    /// Counts a request as in flight; returns false if `limit` is reached.
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

    /// Counts a request as ended.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}
