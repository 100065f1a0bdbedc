use crate::{clock::Millis, decaying_sum::DecayingSum};

/// Half-life of the measured arrivals: long against the time between two requests, short against a
/// burst of some seconds.
const ARRIVALS_HALF_LIFE: Millis = Millis(1_000);

/// Work of one account, or of a whole class.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountLoad {
    /// Queued work that can be on time.
    pub on_time: f64,
    /// Queued work that can no longer be on time.
    pub late: f64,
    arrived: DecayingSum,
    arrived_on_time: DecayingSum,
}

impl AccountLoad {
    /// Adds queued work, or removes it if `work` is negative.
    pub fn add(
        &mut self,
        work: f64,
        is_late: bool,
    ) {
        let queued = if is_late {
            &mut self.late
        } else {
            &mut self.on_time
        };
        *queued = (*queued + work).max(0.0);
    }

    /// Records work that was admitted.
    pub fn note_arrival(
        &mut self,
        work: f64,
        is_late: bool,
        now: Millis,
    ) {
        self.arrived.add(work, now, ARRIVALS_HALF_LIFE);
        if !is_late {
            self.arrived_on_time.add(work, now, ARRIVALS_HALF_LIFE);
        }
    }

    /// Admitted work per millisecond.
    pub fn arrivals(
        &self,
        now: Millis,
    ) -> f64 {
        per_ms(self.arrived.get(now, ARRIVALS_HALF_LIFE))
    }

    /// Work per millisecond that was admitted to be on time.
    pub fn on_time_arrivals(
        &self,
        now: Millis,
    ) -> f64 {
        per_ms(self.arrived_on_time.get(now, ARRIVALS_HALF_LIFE))
    }

    /// Whether nothing is queued and hardly anything has arrived lately.
    pub fn is_idle(
        &self,
        now: Millis,
    ) -> bool {
        /// Work below this part of a unit no longer counts.
        const IDLE_WORK: f64 = 0.01;
        self.on_time < IDLE_WORK
            && self.late < IDLE_WORK
            && self.arrived.get(now, ARRIVALS_HALF_LIFE) < IDLE_WORK
    }
}

/// The rate of a steady stream whose sum, decayed with the half-life of the arrivals, is `sum`.
fn per_ms(sum: f64) -> f64 {
    sum * std::f64::consts::LN_2 / ARRIVALS_HALF_LIFE.0 as f64
}
