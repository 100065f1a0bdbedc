/// Relative step of an observation while few have been made, and its lower bound.
const FIRST_STEP: f64 = 0.5;
const MIN_STEP: f64 = 0.02;

/// A quantile of positive observations, followed by steps of bounded size.
#[derive(Clone, Copy, Debug)]
pub(super) struct Quantile {
    /// The part of the observations below it, from 0 to 1.
    part: f64,
    value: Option<f64>,
    step: f64,
}

impl Quantile {
    /// The quantile below which `part` of the observations are.
    pub(super) const fn new(part: f64) -> Self {
        Self {
            part,
            value: None,
            step: FIRST_STEP,
        }
    }

    /// The quantile; `None` without observations.
    pub(super) const fn get(&self) -> Option<f64> {
        self.value
    }

    /// Adds an observation.
    pub(super) fn note(
        &mut self,
        observed: f64,
    ) {
        let Some(value) = self.value else {
            self.value = Some(observed);
            return;
        };
        let direction = if observed > value {
            self.part
        } else {
            self.part - 1.0
        };
        self.value = Some(value * (self.step * direction).exp());
        self.step = (self.step * 0.95).max(MIN_STEP);
    }
}
