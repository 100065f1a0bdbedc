//! The daemon's own clock.

use {jasmine_core::clock::Millis, std::time::Instant};

/// Counts milliseconds from the start of the process, also while the process is frozen.
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
    /// The present moment.
    pub fn now(&self) -> Millis {
        // One more, so that zero stays the time before everything.
        Millis(self.origin.elapsed().as_millis() as u64 + 1)
    }

    /// The moment as the runtime's timers need it.
    pub fn instant(
        &self,
        at: Millis,
    ) -> tokio::time::Instant {
        (self.origin + at.to_std()).into()
    }
}
