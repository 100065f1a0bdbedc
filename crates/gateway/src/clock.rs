//! The daemon's own clock.

use {jasmine_core::clock::Millis, std::time::Instant};

/// What the clock shows at the start: moments before it, such as when the store confirmed something that
/// a controller tells of, have to lie on the clock too. Counted from nought, a gateway took such word for
/// no word at all, and refused everything for its first seconds after it had said that it was ready.
const START: Millis = Millis::from_secs(24 * 3600);

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
        START + Millis(self.origin.elapsed().as_millis() as u64)
    }

    /// The moment as the runtime's timers need it.
    pub fn instant(
        &self,
        at: Millis,
    ) -> tokio::time::Instant {
        (self.origin + at.since(START).to_std()).into()
    }
}
