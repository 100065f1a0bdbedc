//! The clock for leases and other times that are compared with those of other processes.

use {
    jasmine_core::clock::Millis,
    nix::time::{ClockId, clock_gettime},
    std::time::{SystemTime, UNIX_EPOCH},
};

/// A monotonic clock in milliseconds that also runs while the VM is suspended.
///
/// `CLOCK_MONOTONIC`, which the runtime's timers use, stops during a suspension: a lease measured by it would look
/// valid after it has expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// Returns the time since boot.
    ///
    /// # Panics
    ///
    /// Never on Linux: the clock exists since 2.6.39.
    pub fn now(self) -> Millis {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot clock exists");
        Millis(time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000)
    }

    /// The time of day since 1970, which may jump; for ages of what another process has stored.
    pub fn unix_time() -> Millis {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        Millis(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
    }
}
