use crate::clock::Millis;

/// Time constant of the exponential decay.
const MEMORY: Millis = Millis(1000);

/// Exponentially decaying average of the requested tokens, admitted or not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Decayed sum in millitokens.
    weight: f64,
    at: Millis,
}

impl Demand {
    /// Adds a request of `milli` millitokens.
    pub fn note(
        &mut self,
        milli: u64,
        now: Millis,
    ) {
        self.weight = self.faded(now) + milli as f64;
        self.at = self.at.max(now);
    }

    /// Demand in millitokens per second.
    pub fn per_second(
        &self,
        now: Millis,
    ) -> u64 {
        (self.faded(now) / MEMORY.as_secs_f64()) as u64
    }

    fn faded(
        &self,
        now: Millis,
    ) -> f64 {
        let age = now.since(self.at);
        self.weight * (-(age.0 as f64) / MEMORY.0 as f64).exp()
    }
}
