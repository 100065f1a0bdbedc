use crate::clock::Millis;

/// How long the past counts; older demand fades.
const MEMORY: Millis = Millis(1000);

/// A fading average of what callers have asked for, admitted or not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Thousandths of a token, each faded by its age.
    weight: f64,
    at: Millis,
}

impl Demand {
    /// Notes a request.
    pub fn note(
        &mut self,
        milli: u64,
        now: Millis,
    ) {
        self.weight = self.faded(now) + milli as f64;
        self.at = self.at.max(now);
    }

    /// Thousandths of a token asked for in a second.
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
