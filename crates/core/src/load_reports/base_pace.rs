use crate::{clock::Millis, decaying_sum::DecayingSum};

/// Most observations that a base rests on; each further one replaces a part of the earlier ones.
///
/// 256 calls are some ten seconds of a busy upstream: longer than a slow phase, short enough to notice a change for good.
const MAX_WEIGHT: f64 = 256.0;
/// Assumed earlier observations at the usual pace.
const PRIOR_WEIGHT: f64 = 2.0;
/// Half-life of observations, so that an upstream that is avoided for being slow is tried again after minutes.
const HALF_LIFE: Millis = Millis::from_secs(120);
/// Bounds of a base, those of a credible pace.
const BOUNDS: (f64, f64) = (0.1, 20.0);

/// Mean of measured times of one upstream relative to its service, over minutes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct BasePace {
    sum: DecayingSum,
    weight: DecayingSum,
}

impl BasePace {
    /// Adds the mean `ratio` of `weight` observations.
    pub(super) fn add(
        &mut self,
        ratio: f64,
        weight: f64,
        now: Millis,
    ) {
        let ratio = ratio.clamp(BOUNDS.0, BOUNDS.1);
        let weight = weight.min(MAX_WEIGHT);
        let excess = (self.weight.get(now, HALF_LIFE) + weight - MAX_WEIGHT).max(0.0);
        let mean = self.mean(now);
        self.sum.add(ratio * weight - mean * excess, now, HALF_LIFE);
        self.weight.add(weight - excess, now, HALF_LIFE);
    }

    /// The mean, which fades to 1 as its observations do.
    pub(super) fn get(
        &self,
        now: Millis,
    ) -> f64 {
        let sum = PRIOR_WEIGHT + self.sum.get(now, HALF_LIFE);
        (sum / (PRIOR_WEIGHT + self.weight(now))).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// The number of observations that it rests on.
    pub(super) fn weight(
        &self,
        now: Millis,
    ) -> f64 {
        self.weight.get(now, HALF_LIFE)
    }

    /// The mean of the observations alone.
    pub(super) fn mean(
        &self,
        now: Millis,
    ) -> f64 {
        let weight = self.weight(now);
        if weight <= 0.0 {
            return 1.0;
        }
        (self.sum.get(now, HALF_LIFE) / weight).clamp(BOUNDS.0, BOUNDS.1)
    }
}
