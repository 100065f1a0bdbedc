//! The monotonic clock of the daemon.

use {jasmine_core::clock::Millis, std::time::Instant};

/// Time of the clock at process start.
///
/// It is above zero so that moments before the start, such as the last confirmation of the
/// configuration by the store, can be represented.
const START_TIME: Millis = Millis::from_secs(24 * 3600);

/// Counts milliseconds since process start, including time while the process is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Millis {
        START_TIME + Millis(self.origin.elapsed().as_millis() as u64)
    }

    /// Converts a time of this clock to an instant for tokio's timers.
    pub fn instant(
        &self,
        at: Millis,
    ) -> tokio::time::Instant {
        (self.origin + at.since(START_TIME).to_std()).into()
    }
}
