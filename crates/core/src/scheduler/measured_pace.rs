use crate::clock::Millis;

/// Weight of one request in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Bounds of what one request shows.
const SAMPLE_BOUNDS: (f64, f64) = (0.2, 5.0);
/// Half-life of what was measured.
///
/// Without it, an upstream that is avoided for being slow would never be tried again.
const HALF_LIFE: Millis = Millis(10_000);

/// How long requests take at one upstream, relative to what they are expected to cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasuredPace {
    ratio: f64,
    measured_at: Millis,
}

impl Default for MeasuredPace {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            measured_at: Millis::ZERO,
        }
    }
}

impl MeasuredPace {
    /// Factor on the usual time of work.
    pub(super) fn factor(
        &self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.measured_at).0 as f64 / HALF_LIFE.0 as f64;
        1.0 + (self.ratio - 1.0) * (-halvings).exp2()
    }

    /// Records a request that took `ratio` times as long as expected.
    pub(super) fn note(
        &mut self,
        ratio: f64,
        now: Millis,
    ) {
        let ratio = ratio.clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let before = self.factor(now);
        self.ratio = before + (ratio - before) * SAMPLE_WEIGHT;
        self.measured_at = now;
    }
}
