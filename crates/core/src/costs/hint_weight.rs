/// Decay of earlier observations with each new one, for a memory of about 500.
const DECAY: f64 = 1.0 - 1.0 / 500.0;
/// Weight of a hint before any was compared with an output.
const INITIAL_WEIGHT: f64 = 0.5;
/// Sum of squares on which the initial weight rests.
const INITIAL_SQUARES: f64 = 5.0;

/// How far the hints of a service's callers are worth following: the slope of a regression of the
/// logarithms of outputs on those of hints, both relative to the stated maximum.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HintWeight {
    count: f64,
    hints: f64,
    outputs: f64,
    hints_squared: f64,
    products: f64,
}

impl HintWeight {
    /// Adds the logarithms of a hint and of what its output was.
    pub(super) fn note(
        &mut self,
        hint: f64,
        output: f64,
    ) {
        let add = |sum: f64, amount: f64| sum * DECAY + amount;
        self.count = add(self.count, 1.0);
        self.hints = add(self.hints, hint);
        self.outputs = add(self.outputs, output);
        self.hints_squared = add(self.hints_squared, hint * hint);
        self.products = add(self.products, hint * output);
    }

    /// The exponent of a hint, from 0 (worthless) to 1 (exact up to a factor).
    pub(super) fn get(&self) -> f64 {
        let count = self.count.max(1.0);
        let variance = self.hints_squared - self.hints * self.hints / count;
        let covariance = self.products - self.hints * self.outputs / count;
        let slope =
            (covariance + INITIAL_WEIGHT * INITIAL_SQUARES) / (variance.max(0.0) + INITIAL_SQUARES);
        slope.clamp(0.0, 1.0)
    }

    /// Mean logarithm of the hints; zero without any.
    pub(super) fn mean_hint(&self) -> f64 {
        self.hints / self.count.max(1.0)
    }
}
