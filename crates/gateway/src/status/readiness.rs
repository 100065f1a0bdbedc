use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// What all threads need to know of the daemon's state.
#[derive(Debug, Default)]
pub struct Readiness {
    confirmed: AtomicBool,
    unready: AtomicBool,
    stopping: AtomicBool,
    in_flight: AtomicU64,
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

    /// Tells balancers to send nothing more.
    pub fn leave_balancers(&self) {
        self.unready.store(true, Ordering::Relaxed);
    }

    /// Whether balancers may send requests.
    pub fn is_ready(&self) -> bool {
        self.is_confirmed() && !self.unready.load(Ordering::Relaxed)
    }

    /// Admits nothing any more.
    pub fn stop_admitting(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether nothing is admitted any more.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
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
