use {super::report_fade::FadeCurve, crate::clock::Millis};

/// Half-life of recent times that neither the base nor a report explains.
const RECENT_HALF_LIFE: Millis = Millis(4_000);
/// Bounds of a factor.
const BOUNDS: (f64, f64) = (0.05, 50.0);

/// How long work takes on an upstream, relative to its service, as far as a [`super::PaceEstimate`] tells.
#[derive(Clone, Copy, Debug)]
pub struct PaceForecast {
    pub(super) base: f64,
    /// The deviation of the upstream's mean over time from that of the measured times.
    pub(super) typical: f64,
    /// The deviation by the newest report, and when that was heard.
    pub(super) deviation: f64,
    pub(super) heard_at: Millis,
    pub(super) fade: FadeCurve,
    /// Moving average of recent times relative to what was expected.
    pub(super) recent: f64,
    pub(super) recent_at: Millis,
}

impl PaceForecast {
    /// Factor on the usual time of work; 1.0 as usual.
    pub fn factor(
        &self,
        now: Millis,
    ) -> f64 {
        (self.reported(now) * self.recent(now)).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// The factor by base and report.
    pub(super) fn reported(
        &self,
        now: Millis,
    ) -> f64 {
        let deviation = self.typical + (self.deviation - self.typical) * self.left(now);
        (self.base * (1.0 + deviation)).max(BOUNDS.0)
    }

    /// Part of the newest report's deviation that is left.
    pub(super) fn left(
        &self,
        now: Millis,
    ) -> f64 {
        self.fade.left(now.since(self.heard_at))
    }

    /// Recent times relative to what was expected, which fade to 1.
    pub(super) fn recent(
        &self,
        now: Millis,
    ) -> f64 {
        let halvings = now.since(self.recent_at).0 as f64 / RECENT_HALF_LIFE.0 as f64;
        1.0 + (self.recent - 1.0) * (-halvings).exp2()
    }
}
