/// Assumed time of a call before the first was measured, in milliseconds.
const INITIAL_MS: f64 = 30.0;
/// Weight of one call once many were measured.
const MIN_SAMPLE_WEIGHT: f64 = 0.01;
/// One call counts at most this many times the mean.
const MAX_SURPRISE: f64 = 10.0;

/// Mean time of the calls of a service at the usual pace.
#[derive(Clone, Copy, Debug)]
pub(super) struct UsualCallTime {
    ms: f64,
    samples: f64,
}

impl Default for UsualCallTime {
    fn default() -> Self {
        Self {
            ms: INITIAL_MS,
            samples: 0.0,
        }
    }
}

impl UsualCallTime {
    /// Records the time of a call at an upstream that takes `factor` times the usual.
    pub(super) fn note(
        &mut self,
        took_ms: f64,
        factor: f64,
    ) {
        let usual = took_ms / factor;
        if !usual.is_finite() || usual < 0.0 {
            return;
        }
        self.samples += 1.0;
        let weight = self.samples.recip().max(MIN_SAMPLE_WEIGHT);
        let most = if self.samples > 1.0 {
            self.ms * MAX_SURPRISE
        } else {
            f64::MAX
        };
        self.ms += (usual.min(most) - self.ms) * weight;
    }

    /// The mean, in milliseconds.
    pub(super) fn ms(self) -> f64 {
        self.ms.max(1.0)
    }
}
