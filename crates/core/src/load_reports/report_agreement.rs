use {
    super::{Pace, base_pace::BasePace},
    crate::clock::Millis,
};

/// Part of the sums that is kept with each new sample, for a memory of some 256 samples.
const KEPT_PART: f64 = 1.0 - 1.0 / 256.0;
/// Assumed earlier samples in which measured times followed the reports.
const PRIOR_SAMPLES: f64 = 4.0;
/// Variance of the reported pace in those, relative to its mean.
const PRIOR_VARIANCE: f64 = 0.25;

/// Longest time for which a report counts in the mean over time, and the time that counts as one observation.
///
/// An upstream that is slow now gets few requests, and so reports less often than when it is fast.
const MAX_REPORTED_TIME: Millis = Millis(1_000);
const OBSERVED_TIME: Millis = Millis(100);

/// How far measured times follow the pace that an upstream reports, by linear regression.
///
/// Only deviations from the mean of the reports count: a report that is always the same, or always off by the same factor, tells
/// nothing of the present.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportAgreement {
    /// Mean of the reported paces with a measured time.
    paces: BasePace,
    /// Mean of all reported paces over time.
    typical: BasePace,
    reported_at: Option<Millis>,
    /// Sums over relative deviations of reported paces from their mean, and of measured times from theirs.
    variance: f64,
    covariance: f64,
}

impl ReportAgreement {
    /// Adds a reported pace; returns how far it is above the mean over time, relative to that.
    pub(super) fn note_report(
        &mut self,
        pace: Pace,
        heard_at: Millis,
    ) -> f64 {
        let passed = self
            .reported_at
            .map_or(OBSERVED_TIME, |at| heard_at.since(at));
        let weight = passed.min(MAX_REPORTED_TIME).0 as f64 / OBSERVED_TIME.0 as f64;
        self.typical.add(pace.factor(), weight, heard_at);
        self.reported_at = Some(heard_at);
        pace.factor() / self.typical.get(heard_at) - 1.0
    }

    /// Adds the time of a request relative to the upstream's mean, with the newest pace reported then and the part of it that was left.
    pub(super) fn note(
        &mut self,
        pace: Pace,
        left: f64,
        relative_time: f64,
        now: Millis,
    ) {
        let typical = self.typical_deviation(now);
        let deviation = typical + (self.deviation(pace, now) - typical) * left;
        self.variance = self.variance * KEPT_PART + deviation * deviation;
        self.covariance = self.covariance * KEPT_PART + deviation * (relative_time - 1.0);
        self.paces.add(pace.factor(), 1.0, now);
    }

    /// Assumes that reports have agreed with a base that another VM has measured.
    pub(super) fn assume(
        &mut self,
        base: f64,
        now: Millis,
    ) {
        self.paces.add(base, PRIOR_SAMPLES, now);
        self.typical.add(base, PRIOR_SAMPLES, now);
    }

    /// How far the mean over time is above that of the reports with a measured time, relative to that.
    pub(super) fn typical_deviation(
        &self,
        now: Millis,
    ) -> f64 {
        if self.reported_at.is_none() || self.paces.weight(now) < 1.0 {
            return 0.0;
        }
        self.typical.get(now) / self.paces.get(now) - 1.0
    }

    /// How far a pace is above the mean of the reports with a measured time, relative to that.
    pub(super) fn deviation(
        &self,
        pace: Pace,
        now: Millis,
    ) -> f64 {
        pace.factor() / self.paces.get(now) - 1.0
    }

    /// Part of a reported deviation that shows in measured times, from 0 to 1.
    pub(super) fn trust(&self) -> f64 {
        let prior = PRIOR_SAMPLES * PRIOR_VARIANCE;
        ((self.covariance + prior) / (self.variance + prior)).clamp(0.0, 1.0)
    }
}
