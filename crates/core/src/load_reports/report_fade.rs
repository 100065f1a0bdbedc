use crate::clock::Millis;

/// Ages of reports at which their agreement with later ones is measured, in milliseconds.
const AGES_MS: [u64; 6] = [50, 100, 200, 400, 800, 1_600];
/// Assumed half-life of a reported deviation before any was measured, in milliseconds.
///
/// Paces change many times a second.
const PRIOR_HALF_LIFE_MS: f64 = 200.0;
/// Assumed earlier samples of that.
const PRIOR_SAMPLES: f64 = 8.0;
/// Mean square of the deviations in those.
const PRIOR_VARIANCE: f64 = 0.1;
/// Part of the sums that is kept with each new sample, for a memory of some 128 samples.
const KEPT_PART: f64 = 1.0 - 1.0 / 128.0;
/// Most that one deviation counts.
const MAX_DEVIATION: f64 = 4.0;

/// How much of a reported deviation is left after a while: the correlation of reports with later ones, by the time between them.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportFade {
    /// By age: an earlier report with its time, and the sums over pairs of reports of that age.
    pairs: [AgedPairs; AGES_MS.len()],
}

#[derive(Clone, Copy, Debug, Default)]
struct AgedPairs {
    earlier: Option<(f64, Millis)>,
    variance: f64,
    covariance: f64,
}

/// The part of a deviation that is left, by age; a copy without what it was learned from.
#[derive(Clone, Copy, Debug)]
pub(super) struct FadeCurve([f32; AGES_MS.len()]);

impl ReportFade {
    /// Records the deviation of a report.
    pub(super) fn note(
        &mut self,
        deviation: f64,
        heard_at: Millis,
    ) {
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        for (pairs, age) in self.pairs.iter_mut().zip(AGES_MS) {
            let Some((earlier, at)) = pairs.earlier else {
                pairs.earlier = Some((deviation, heard_at));
                continue;
            };
            let passed = heard_at.since(at).0;
            if passed < age {
                continue;
            }
            // A report much later than this age says nothing of it.
            if passed < age * 2 {
                pairs.variance = pairs.variance * KEPT_PART + earlier * earlier;
                pairs.covariance = pairs.covariance * KEPT_PART + earlier * deviation;
            }
            pairs.earlier = Some((deviation, heard_at));
        }
    }

    /// The part that is left by age, which never grows with it.
    pub(super) fn curve(&self) -> FadeCurve {
        let mut left = 1.0_f64;
        let mut curve = [0.0; AGES_MS.len()];
        for ((at, pairs), age) in curve.iter_mut().zip(&self.pairs).zip(AGES_MS) {
            let prior = PRIOR_SAMPLES * PRIOR_VARIANCE;
            let assumed = (-(age as f64) / PRIOR_HALF_LIFE_MS).exp2();
            let measured = (pairs.covariance + prior * assumed) / (pairs.variance + prior);
            left = left.min(measured.max(0.0));
            *at = left as f32;
        }
        FadeCurve(curve)
    }
}

impl FadeCurve {
    /// The part of a deviation that is left at an age.
    pub(super) fn left(
        &self,
        age: Millis,
    ) -> f64 {
        let (mut from, mut before) = (0, 1.0);
        for (at, left) in AGES_MS.into_iter().zip(self.0) {
            let left = f64::from(left);
            if age.0 < at {
                let part = (age.0 - from) as f64 / (at - from) as f64;
                return before + (left - before) * part;
            }
            (from, before) = (at, left);
        }
        before * from as f64 / age.0 as f64
    }
}
