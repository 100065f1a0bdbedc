use {
    jasmine_core::clock::Millis,
    std::{cell::Cell, time::Instant},
};

/// Size of the bucket, in seconds of the permitted rate.
const BURST_SECONDS: f64 = 4.0;

/// A token bucket that limits the rate of this VM's calls to the key-value service.
///
/// The service's capacity is shared by the whole fleet. The limit keeps a VM that retries in a tight
/// loop from starving the others.
#[derive(Debug)]
pub(super) struct CallRateLimiter {
    per_second: f64,
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
}

impl CallRateLimiter {
    pub(super) fn new(calls_per_second: u32) -> Self {
        let per_second = f64::from(calls_per_second.max(1));
        Self {
            per_second,
            tokens: Cell::new(per_second * BURST_SECONDS),
            refilled_at: Cell::new(Instant::now()),
        }
    }

    /// Reserves one call and returns how long the caller must wait before sending it.
    pub(super) fn reserve(&self) -> Millis {
        let now = Instant::now();
        let elapsed = now
            .duration_since(self.refilled_at.replace(now))
            .as_secs_f64();
        let capacity = self.per_second * BURST_SECONDS;
        let remaining = (self.tokens.get() + elapsed * self.per_second).min(capacity) - 1.0;
        self.tokens.set(remaining);
        match remaining {
            remaining if remaining >= 0.0 => Millis::ZERO,
            remaining => Millis((-remaining / self.per_second * 1000.0).ceil() as u64),
        }
    }
}
