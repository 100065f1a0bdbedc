use {
    crate::clock::MonotonicClock,
    jasmine_core::clock::Millis,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Time without a heartbeat after which the controller is unhealthy.
const HEARTBEAT_TIMEOUT: Millis = Millis(5_000);

/// Health and readiness, readable from any thread.
#[derive(Clone, Debug)]
pub struct Health {
    clock: MonotonicClock,
    state: Arc<HealthState>,
}

#[derive(Debug, Default)]
struct HealthState {
    config_loaded: AtomicBool,
    lease_until: AtomicU64,
    leaving: AtomicBool,
    last_heartbeat: AtomicU64,
}

impl Health {
    /// Creates the state of a process that has just started.
    pub fn new(clock: MonotonicClock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Records the state and a heartbeat of the controller's thread.
    pub fn update(
        &self,
        config_loaded: bool,
        lease_until: Millis,
        leaving: bool,
    ) {
        let state = &self.state;
        state.config_loaded.store(config_loaded, Ordering::Relaxed);
        state.lease_until.store(lease_until.0, Ordering::Relaxed);
        state.leaving.store(leaving, Ordering::Relaxed);
        state
            .last_heartbeat
            .store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Whether the controller's thread sent a heartbeat recently.
    pub fn is_healthy(&self) -> bool {
        let last_heartbeat = Millis(self.state.last_heartbeat.load(Ordering::Relaxed));
        self.clock.now().since(last_heartbeat) < HEARTBEAT_TIMEOUT
    }

    /// Reasons why this controller is not ready; empty when it is.
    pub fn unready_reasons(&self) -> Vec<&'static str> {
        let state = &self.state;
        let lease_until = Millis(state.lease_until.load(Ordering::Relaxed));
        let checks = [
            (!self.is_healthy(), "stalled"),
            (
                !state.config_loaded.load(Ordering::Relaxed),
                "config_not_loaded",
            ),
            (lease_until <= self.clock.now(), "lease_not_held"),
            (state.leaving.load(Ordering::Relaxed), "leaving"),
        ];
        checks
            .into_iter()
            .filter(|(failing, _)| *failing)
            .map(|(_, reason)| reason)
            .collect()
    }
}
