use crate::clock::Millis;

/// Factor applied to the elapsed time of an unfinished load, to estimate its total time.
///
/// Without it, the next request would be sent at the very moment at which a load was seen to be
/// unfinished.
const MARGIN_FACTOR: f64 = 1.1;
/// Largest slowdown factor assumed, as late loads may have other causes.
const MAX_FACTOR: f64 = 3.0;
/// Half-life of an observed slowdown of the store.
const STORE_HALF_LIFE: Millis = Millis(6_000);
/// Half-life of an observed slowdown of one engine; longer, as a machine stays slow.
const ENGINE_HALF_LIFE: Millis = Millis(60_000);

/// How much slower cold loads are than the settings say, from observed late loads.
///
/// After a restart, hundreds of adapters are loaded at once. Requests sent before their adapter is
/// loaded are rejected by the engine and use up the retry budget.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadSlowdown {
    /// Slowdown factor minus one, at `observed_at`.
    excess: f64,
    observed_at: Millis,
    half_life: Millis,
}

impl Default for LoadSlowdown {
    fn default() -> Self {
        Self {
            excess: 0.0,
            observed_at: Millis::ZERO,
            half_life: STORE_HALF_LIFE,
        }
    }
}

impl LoadSlowdown {
    /// The slowdown of a single engine.
    pub(super) fn of_engine() -> Self {
        Self {
            half_life: ENGINE_HALF_LIFE,
            ..Self::default()
        }
    }

    /// Records a load that was expected to take `expected` and was not finished after `elapsed`.
    pub(super) fn note_late(
        &mut self,
        elapsed: Millis,
        expected: Millis,
        now: Millis,
    ) {
        let observed = elapsed.0 as f64 / expected.0.max(1) as f64 * MARGIN_FACTOR;
        let factor = observed.clamp(1.0, MAX_FACTOR).max(self.factor(now));
        self.excess = factor - 1.0;
        self.observed_at = now;
    }

    /// The slowdown factor, at least 1.
    pub(super) fn factor(
        self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.observed_at).0 as f64 / self.half_life.0 as f64;
        1.0 + self.excess * (-halvings).exp2()
    }
}
