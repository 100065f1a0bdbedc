use crate::clock::Millis;

/// Weight of one sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Deviations above the mean within which most calls end.
const DEVIATIONS: f64 = 3.0;

/// Time from the assignment of a call to its end, over all upstreams of a service.
///
/// A call that waits until only the shortest of these times is left before its objective will
/// nearly always miss it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CallTimes {
    /// Moving average and mean deviation from it, in milliseconds; `None` without a sample.
    average: Option<(f64, f64)>,
}

impl CallTimes {
    /// Records the time of a call.
    pub(super) fn note(
        &mut self,
        took: Millis,
    ) {
        let took = took.0 as f64;
        let (mean, deviation) = self.average.unwrap_or((took, 0.0));
        self.average = Some((
            mean + (took - mean) * SAMPLE_WEIGHT,
            deviation + ((took - mean).abs() - deviation) * SAMPLE_WEIGHT,
        ));
    }

    /// The time in which most calls end, at least `min`.
    pub(super) fn most(
        &self,
        min: Millis,
    ) -> Millis {
        let most = self
            .average
            .map_or(0.0, |(mean, deviation)| mean + deviation * DEVIATIONS);
        min.max(Millis(most as u64))
    }
}
