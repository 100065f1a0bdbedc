use {jasmine_core::clock::Millis, rand::Rng};

/// Exponential backoff with jitter.
///
/// The jitter keeps clients from reconnecting all at once after an outage.
#[derive(Clone, Debug)]
pub struct Backoff {
    initial_delay: Millis,
    max_delay: Millis,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delay doubles from `initial_delay` up to `max_delay`.
    pub const fn new(
        initial_delay: Millis,
        max_delay: Millis,
    ) -> Self {
        Self {
            initial_delay,
            max_delay,
            failures: 0,
        }
    }

    /// Resets the delay after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Counts a failure and returns the delay before the next attempt: 50 to 100 % of the doubled one.
    pub fn next_delay(&mut self) -> Millis {
        let doubled = self.initial_delay.0 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let ceiling = doubled.clamp(1, self.max_delay.0.max(1));
        Millis(rand::rng().random_range(ceiling / 2..=ceiling))
    }
}
