use crate::{clock::Millis, decaying_sum::DecayingSum};

/// Half-life of the counts.
const HALF_LIFE: Millis = Millis(6_000);
/// Recent late loads below which their share says nothing.
const MIN_LATE: f64 = 3.0;
/// Share of late loads above which the store is slow rather than single engines.
const MAX_LATE_SHARE: f64 = 0.5;

/// How many cold loads ended in time, over all engines.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadPunctuality {
    loads: DecayingSum,
    late: DecayingSum,
}

impl LoadPunctuality {
    /// Records that a request found a load finished or not finished at its expected time.
    pub(super) fn note(
        &mut self,
        is_late: bool,
        now: Millis,
    ) {
        self.loads.add(1.0, now, HALF_LIFE);
        if is_late {
            self.late.add(1.0, now, HALF_LIFE);
        }
    }

    /// Whether most recent loads were late.
    pub(super) fn most_are_late(
        self,
        now: Millis,
    ) -> bool {
        let late = self.late.get(now, HALF_LIFE);
        late >= MIN_LATE && late > self.loads.get(now, HALF_LIFE) * MAX_LATE_SHARE
    }
}
