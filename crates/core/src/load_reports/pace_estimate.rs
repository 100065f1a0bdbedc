use {
    super::{
        HeardLoad, LoadReport, PaceForecast, base_pace::BasePace,
        report_agreement::ReportAgreement, report_fade::ReportFade,
    },
    crate::clock::Millis,
};

/// Weight of one observation in the moving average of recent times.
const RECENT_WEIGHT: f64 = 0.1;
/// One observation counts at most this many times what was expected.
const MAX_SURPRISE: f64 = 10.0;
/// Age up to which a report is held against the time of a request that ends now.
const MAX_PAIRED_AGE: Millis = Millis(2_000);
/// Observations that a base is kept with when its upstream starts again, most often on the same machine.
const RESTARTED_WEIGHT: f64 = 16.0;
/// Most requests that may wait at an upstream by its report; its memory holds far fewer.
const MAX_WAITING: u32 = 100_000;

/// How long work takes on one upstream, relative to its service.
///
/// The base is a mean over minutes of how long requests took. The newest report tells how far the upstream is from its own mean now; it counts as
/// far as earlier reports agreed with measured times, and fades as it ages. Recent times that neither explains count for some seconds.
#[derive(Clone, Copy, Debug)]
pub struct PaceEstimate {
    base: BasePace,
    agreement: ReportAgreement,
    fade: ReportFade,
    newest: Option<HeardLoad>,
    /// Moving average of measured times relative to what base and report made expect.
    recent: f64,
    recent_at: Millis,
    implausible: u64,
}

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            base: BasePace::default(),
            agreement: ReportAgreement::default(),
            fade: ReportFade::default(),
            newest: None,
            recent: 1.0,
            recent_at: Millis::ZERO,
            implausible: 0,
        }
    }
}

impl PaceEstimate {
    /// Records a report of an upstream; an implausible one is only counted.
    ///
    /// The same report may come by several ways, and an older one after a newer one.
    pub fn note_report(
        &mut self,
        heard: HeardLoad,
        now: Millis,
    ) {
        if !is_possible(heard.report) {
            self.implausible += 1;
            return;
        }
        let heard_at = heard.heard_at.min(now);
        if self
            .newest
            .is_some_and(|newest| heard_at <= newest.heard_at)
        {
            return;
        }
        self.newest = Some(HeardLoad { heard_at, ..heard });
        if let Some(pace) = heard.report.pace {
            let deviation = self.agreement.note_report(pace, heard_at);
            self.fade.note(deviation, heard_at);
        }
    }

    /// Counts a report that could not be decoded, or whose pace isn't credible.
    pub const fn note_implausible(&mut self) {
        self.implausible += 1;
    }

    /// Records how long a request took that takes `usual_ms` on an upstream at the usual pace.
    pub fn note_duration(
        &mut self,
        took_ms: f64,
        usual_ms: f64,
        now: Millis,
    ) {
        let ratio = took_ms / usual_ms;
        if !ratio.is_finite() || ratio < 0.0 {
            return;
        }
        let forecast = self.forecast(now);
        let expected = forecast.reported(now);
        let ratio = ratio.clamp(expected / MAX_SURPRISE, expected * MAX_SURPRISE);
        let recent = forecast.recent(now);
        self.recent = recent + (ratio / expected - recent) * RECENT_WEIGHT;
        self.recent_at = now;
        if let Some(newest) = self.newest
            && let Some(pace) = newest.report.pace
            && now.since(newest.heard_at) <= MAX_PAIRED_AGE
        {
            let relative = ratio / self.base.get(now);
            self.agreement.note(pace, forecast.left(now), relative, now);
        }
        self.base.add(ratio, 1.0, now);
    }

    /// Adds the base that another VM has measured in `weight` observations.
    pub fn add_base(
        &mut self,
        base: f64,
        weight: f64,
        now: Millis,
    ) {
        if base.is_finite() && base > 0.0 && weight.is_finite() && weight > 0.0 {
            self.base.add(base, weight, now);
            self.agreement.assume(base, now);
        }
    }

    /// The base with the number of observations that it rests on; `None` without any.
    pub fn base(
        &self,
        now: Millis,
    ) -> Option<(f64, f64)> {
        let weight = self.base.weight(now);
        (weight >= 1.0).then(|| (self.base.mean(now), weight))
    }

    /// Factor on the usual time of work; 1.0 as usual.
    pub fn factor(
        &self,
        now: Millis,
    ) -> f64 {
        self.forecast(now).factor(now)
    }

    /// What it tells of the time after `now`.
    pub fn forecast(
        &self,
        now: Millis,
    ) -> PaceForecast {
        let heard = self.newest;
        let pace = heard.and_then(|heard| heard.report.pace);
        let trust = self.agreement.trust();
        PaceForecast {
            base: self.base.get(now),
            typical: trust * self.agreement.typical_deviation(now),
            deviation: pace.map_or(0.0, |pace| trust * self.agreement.deviation(pace, now)),
            heard_at: heard.map_or(Millis::ZERO, |heard| heard.heard_at),
            fade: self.fade.curve(),
            recent: self.recent,
            recent_at: self.recent_at,
        }
    }

    /// The newest possible report.
    pub const fn newest(&self) -> Option<HeardLoad> {
        self.newest
    }

    /// Number of implausible reports so far.
    pub const fn implausible(&self) -> u64 {
        self.implausible
    }

    /// The estimate after the upstream has started again: the base is kept, with less weight.
    pub fn after_restart(
        &self,
        now: Millis,
    ) -> Self {
        let mut fresh = Self {
            implausible: self.implausible,
            ..Self::default()
        };
        if let Some((base, weight)) = self.base(now) {
            fresh.add_base(base, weight.min(RESTARTED_WEIGHT), now);
        }
        fresh
    }
}

/// Whether an upstream can run and hold so many requests.
fn is_possible(report: LoadReport) -> bool {
    report.waiting <= MAX_WAITING && report.slots.is_none_or(|slots| report.running <= slots)
}
