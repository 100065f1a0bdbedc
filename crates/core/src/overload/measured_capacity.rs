use crate::clock::Millis;

/// Time constant of the measurement, counted in time during which the service was saturated.
const TIME_CONSTANT: Millis = Millis(2_000);
/// Time constant with which the measurement fades while the service isn't saturated.
const FADE: Millis = Millis(30_000);
/// Weight of the nominal capacity, as the time for which it counts as measured.
const PRIOR: Millis = Millis(300);
/// Bounds of the correction.
const MIN_FACTOR: f64 = 0.05;
const MAX_FACTOR: f64 = 1.5;
/// Work that waits for capacity, as time at the capacity, from which on a service is saturated.
///
/// A request that waits for the next free slot doesn't show yet that all of them are in use.
const SATURATED: Millis = Millis(20);

/// The capacity of a service, corrected by what it has served while requests waited for it.
///
/// The nominal capacity is computed from the speed of the upstreams; it is too high where adapters,
/// slots or memory bind. The correction is a ratio, so that a change of the nominal capacity takes
/// effect at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredCapacity {
    /// Nominal capacity per millisecond.
    nominal: f64,
    /// Decayed work served while saturated, and what the nominal capacity had been for it.
    served: f64,
    possible: f64,
    is_saturated: bool,
    updated_at: Millis,
    measured_at: Option<Millis>,
}

impl MeasuredCapacity {
    /// Updates the nominal capacity and whether the service is saturated.
    pub fn update(
        &mut self,
        nominal: f64,
        waiting: f64,
        now: Millis,
    ) {
        self.advance(now);
        self.nominal = if nominal.is_finite() {
            nominal.max(0.0)
        } else {
            0.0
        };
        let threshold = self.per_ms() * SATURATED.0 as f64;
        self.is_saturated = waiting > 0.0 && waiting >= threshold;
    }

    /// Records work that left the queue to run.
    pub fn note_served(
        &mut self,
        work: f64,
        now: Millis,
    ) {
        self.advance(now);
        if self.is_saturated {
            self.served += work;
            self.measured_at = Some(now);
        }
    }

    /// The corrected capacity per millisecond.
    pub fn per_ms(&self) -> f64 {
        let prior = self.nominal * PRIOR.0 as f64;
        if prior <= 0.0 {
            return 0.0;
        }
        let factor = (self.served + prior) / (self.possible + prior);
        self.nominal * factor.clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// Time since the last measurement; `None` if there was none.
    pub fn age(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        self.measured_at.map(|at| now.since(at))
    }

    fn advance(
        &mut self,
        now: Millis,
    ) {
        let elapsed = now.since(self.updated_at).0 as f64;
        let constant = if self.is_saturated {
            TIME_CONSTANT
        } else {
            FADE
        };
        let decay = (-elapsed / constant.0 as f64).exp();
        self.served *= decay;
        self.possible *= decay;
        if self.is_saturated {
            self.possible += self.nominal * (1.0 - decay) * TIME_CONSTANT.0 as f64;
        }
        self.updated_at = self.updated_at.max(now);
    }
}
