use {
    jasmine_core::clock::Millis,
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// What the clock shows at its start: what happened elsewhere before that lies after zero, too.
const AT_START: Millis = Millis::from_secs(7 * 24 * 3600);

/// A clock that never goes back and that goes on while the process is stopped.
#[derive(Clone, Copy, Debug)]
pub struct OwnClock {
    origin: Instant,
}

impl OwnClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        AT_START + Millis(self.origin.elapsed().as_millis() as u64)
    }
}

/// Milliseconds since 1970, which number the runs of a daemon.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
