use crate::clock::Millis;

/// Time constant of the exponential decay.
const TIME_CONSTANT: Millis = Millis(1000);

/// Exponentially decaying average of the requested tokens, admitted or not.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Decayed sum in millitokens.
    decayed_sum: f64,
    updated_at: Millis,
}

impl Demand {
    /// Adds the cost of a request.
    pub fn record(
        &mut self,
        millitokens: u64,
        now: Millis,
    ) {
        self.decayed_sum = self.decayed(now) + millitokens as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Demand in millitokens per second.
    pub fn per_second(
        &self,
        now: Millis,
    ) -> u64 {
        (self.decayed(now) / TIME_CONSTANT.as_secs_f64()) as u64
    }

    fn decayed(
        &self,
        now: Millis,
    ) -> f64 {
        let age = now.since(self.updated_at);
        self.decayed_sum * (-(age.0 as f64) / TIME_CONSTANT.0 as f64).exp()
    }
}
