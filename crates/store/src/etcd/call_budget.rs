use {
    jasmine_core::clock::Millis,
    std::{cell::Cell, time::Instant},
};

/// Seconds whose calls may be made at once after a rest.
const BURST_SECONDS: f64 = 4.0;

/// Bounds the calls a second of one VM.
///
/// The platform takes a few thousand calls a second from the whole fleet. A VM that repeats in a tight
/// loop, after an outage say, would take them from all others; here it waits instead.
#[derive(Debug)]
pub(super) struct CallBudget {
    per_second: f64,
    tokens: Cell<f64>,
    refilled: Cell<Instant>,
}

impl CallBudget {
    pub(super) fn new(calls_per_second: u32) -> Self {
        let per_second = f64::from(calls_per_second.max(1));
        Self {
            per_second,
            tokens: Cell::new(per_second * BURST_SECONDS),
            refilled: Cell::new(Instant::now()),
        }
    }

    /// Takes one call and says how long it has to wait for its turn.
    pub(super) fn take(&self) -> Millis {
        let now = Instant::now();
        let rested = now.duration_since(self.refilled.replace(now)).as_secs_f64();
        let most = self.per_second * BURST_SECONDS;
        let left = (self.tokens.get() + rested * self.per_second).min(most) - 1.0;
        self.tokens.set(left);
        match left {
            left if left >= 0.0 => Millis::ZERO,
            left => Millis((-left / self.per_second * 1000.0).ceil() as u64),
        }
    }
}
