use crate::clock::Millis;

/// Half-life of what was observed.
const HALF_LIFE: Millis = Millis::from_secs(60);

/// A mean of observations and their deviation, which fade with time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LearnedMean {
    pub mean: f64,
    /// Mean deviation relative to the mean.
    pub deviation: f64,
    weight: f64,
    at: Millis,
}

impl LearnedMean {
    /// A mean of `weight` observations.
    pub(super) const fn new(
        mean: f64,
        deviation: f64,
        weight: f64,
        now: Millis,
    ) -> Self {
        Self {
            mean,
            deviation,
            weight,
            at: now,
        }
    }

    /// Number of observations on which it rests, each faded by its age.
    pub(super) fn weight(
        &self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.at).0 as f64 / HALF_LIFE.0 as f64;
        self.weight * (-halvings).exp2()
    }

    /// Adds an observation; earlier ones count at most `max_weight` together.
    pub(super) fn note(
        &mut self,
        observed: f64,
        max_weight: f64,
        now: Millis,
    ) {
        self.weight = self.weight(now).min(max_weight) + 1.0;
        self.at = self.at.max(now);
        self.mean += (observed - self.mean) / self.weight;
        let error = (observed / self.mean.max(f64::MIN_POSITIVE) - 1.0).abs();
        self.deviation += (error - self.deviation) / self.weight;
    }

    /// Adds observations of another process, by weight; the sum is at most `max_weight`.
    pub(super) fn merge(
        &mut self,
        other: &Self,
        max_weight: f64,
        now: Millis,
    ) {
        let (own, added) = (self.weight(now), other.weight(now));
        let share = added / (own + added).max(f64::MIN_POSITIVE);
        self.mean += (other.mean - self.mean) * share;
        self.deviation += (other.deviation - self.deviation) * share;
        self.weight = (own + added).min(max_weight);
        self.at = self.at.max(now);
    }

    /// The mean, shrunk towards `prior` by how little was observed.
    pub(super) fn shrunk(
        &self,
        prior: f64,
        now: Millis,
    ) -> f64 {
        prior + (self.mean - prior) * self.trust(now)
    }

    /// The mean deviation, shrunk towards `prior` in the same way.
    pub(super) fn shrunk_deviation(
        &self,
        prior: f64,
        now: Millis,
    ) -> f64 {
        prior + (self.deviation - prior) * self.trust(now)
    }

    /// How much the observations count against what is expected without them, from 0 to 1.
    ///
    /// The expectation counts as one observation, and less the more were made: otherwise it would
    /// never be left quite, and coarser means would drift to make up for the rest.
    fn trust(
        &self,
        now: Millis,
    ) -> f64 {
        let weight = self.weight(now);
        weight / (weight + 1.0 / weight.max(1.0))
    }
}
