//! The daemon's own clock.

use {
    jasmine_core::clock::Millis,
    nix::time::{ClockId, clock_gettime},
};

/// Counts milliseconds, also while the VM is suspended.
///
/// The steady clock of the runtime's timers stands still in a suspension. A lease measured by it looks
/// valid long after it has ended, and the daemon would give orders that are another's by then; so whatever
/// is compared with what others do is measured by this clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock;

impl Clock {
    /// The present moment.
    ///
    /// # Panics
    ///
    /// Never on Linux: the clock exists since 2.6.39.
    pub fn now(self) -> Millis {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the boot clock exists");
        Millis(time.tv_sec() as u64 * 1000 + time.tv_nsec() as u64 / 1_000_000)
    }
}
