use {
    crate::clock::OwnClock,
    jasmine_core::clock::Millis,
    std::sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// A controller whose decisions have stood still for longer than this is not healthy.
const STALL: Millis = Millis(5_000);

/// What the status port needs to know, readable from any thread.
#[derive(Clone, Debug)]
pub struct Health {
    clock: OwnClock,
    cells: Arc<Cells>,
}

#[derive(Debug, Default)]
struct Cells {
    config_loaded: AtomicBool,
    lease_until: AtomicU64,
    leaving: AtomicBool,
    tick: AtomicU64,
}

impl Health {
    /// The health of a process that has just started.
    pub fn new(clock: OwnClock) -> Self {
        Self {
            clock,
            cells: Arc::default(),
        }
    }

    /// Notes the state of the decisions' thread, which is alive as of now.
    pub fn note(
        &self,
        config_loaded: bool,
        lease_until: Millis,
        leaving: bool,
    ) {
        let cells = &self.cells;
        cells.config_loaded.store(config_loaded, Ordering::Relaxed);
        cells.lease_until.store(lease_until.0, Ordering::Relaxed);
        cells.leaving.store(leaving, Ordering::Relaxed);
        cells.tick.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Whether the decisions' thread is at work.
    pub fn is_healthy(&self) -> bool {
        let tick = Millis(self.cells.tick.load(Ordering::Relaxed));
        self.clock.now().since(tick) < STALL
    }

    /// What keeps this controller from being ready; nothing when it is.
    pub fn unready(&self) -> Vec<&'static str> {
        let cells = &self.cells;
        let lease_until = Millis(cells.lease_until.load(Ordering::Relaxed));
        let checks = [
            (!self.is_healthy(), "stalled"),
            (
                !cells.config_loaded.load(Ordering::Relaxed),
                "config_not_loaded",
            ),
            (lease_until <= self.clock.now(), "lease_not_held"),
            (cells.leaving.load(Ordering::Relaxed), "leaving"),
        ];
        checks
            .into_iter()
            .filter(|(failing, _)| *failing)
            .map(|(_, reason)| reason)
            .collect()
    }
}
