use {jasmine_core::clock::Millis, rand::Rng};

/// Growing pauses between attempts, spread at random.
///
/// After an outage everybody would come back in the same instant; the spread keeps them apart.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Millis,
    most: Millis,
    failures: u32,
}

impl Backoff {
    /// Pauses from `first` doubling up to `most`.
    pub const fn new(
        first: Millis,
        most: Millis,
    ) -> Self {
        Self {
            first,
            most,
            failures: 0,
        }
    }

    /// Begins anew after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and gives the pause that follows: half to whole of the doubled one.
    pub fn next_pause(&mut self) -> Millis {
        let doubled = self.first.0 << self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let ceiling = doubled.clamp(1, self.most.0.max(1));
        Millis(rand::rng().random_range(ceiling / 2..=ceiling))
    }
}
