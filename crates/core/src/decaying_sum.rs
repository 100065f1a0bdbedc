//! Sums with exponential decay.

use crate::clock::Millis;

/// A sum that decays exponentially with a given half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingSum {
    value: f64,
    at: Millis,
}

impl DecayingSum {
    /// Adds `amount` at `now`.
    pub(crate) fn add(
        &mut self,
        amount: f64,
        now: Millis,
        half_life: Millis,
    ) {
        self.value = self.get(now, half_life) + amount;
        self.at = self.at.max(now);
    }

    /// The decayed sum at `now`.
    pub(crate) fn get(
        &self,
        now: Millis,
        half_life: Millis,
    ) -> f64 {
        let halvings = now.since(self.at).0 as f64 / half_life.0.max(1) as f64;
        self.value * (-halvings).exp2()
    }
}
