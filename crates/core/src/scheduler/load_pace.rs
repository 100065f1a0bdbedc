use crate::clock::Millis;

/// What is added to the time after which a load was seen not to be there yet: the next ones shouldn't be asked for at that
/// very moment.
const BEYOND: f64 = 1.1;
/// The longest that loads are expected to take, as a factor: a few late loads may have other causes.
const MAX: f64 = 3.0;
/// How fast it is forgotten that the store was slow.
const HALF_LIFE: Millis = Millis(6_000);

/// How long loads from the adapter store take against what its settings say, by what has been seen.
///
/// After a restart hundreds of adapters are loaded at once. Expected too early, each sends a request to an engine that
/// turns it away, and all repeats that a service may get are used up by them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadPace {
    /// By how much they take longer, as a part of the expected time.
    slower: f64,
    seen_at: Millis,
}

impl LoadPace {
    /// Notes a load that was expected to take `expected` and wasn't there after `elapsed`.
    pub(super) fn note_late(
        &mut self,
        elapsed: Millis,
        expected: Millis,
        now: Millis,
    ) {
        let seen = elapsed.0 as f64 / expected.0.max(1) as f64 * BEYOND;
        let factor = seen.clamp(1.0, MAX).max(self.factor(now));
        self.slower = factor - 1.0;
        self.seen_at = now;
    }

    /// The factor, from 1 up.
    pub(super) fn factor(
        self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.seen_at).0 as f64 / HALF_LIFE.0 as f64;
        1.0 + self.slower * (-halvings).exp2()
    }
}
