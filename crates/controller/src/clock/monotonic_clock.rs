use {
    jasmine_core::clock::Millis,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Reading at the start, which keeps times of earlier events above zero.
const START_READING: Millis = Millis::from_secs(7 * 24 * 3600);

/// Monotonic clock that also advances while the process is suspended.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    origin: Instant,
}

impl MonotonicClock {
    /// Creates a clock whose origin is the current time.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Current reading in milliseconds.
    pub fn now(&self) -> Millis {
        START_READING + Millis(self.origin.elapsed().as_millis() as u64)
    }
}

/// Milliseconds since the Unix epoch, used as incarnation numbers of daemons.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
