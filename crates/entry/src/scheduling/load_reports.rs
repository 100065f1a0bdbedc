//! Load reports of upstreams: what was ignored of them, and how fast upstreams work by them.

use {
    super::LocalScheduler,
    jasmine_core::scheduler::{ImplausibleReports, PaceSummary},
    jasmine_telemetry::log::Line,
};

impl LocalScheduler {
    /// Counts a load report that can't be decoded, or whose pace isn't credible.
    pub fn note_implausible_report(
        &self,
        upstream: &str,
    ) {
        let id = self.names.borrow_mut().upstream(upstream);
        self.scheduler.borrow_mut().note_implausible_report(id);
    }

    /// Logs the implausible reports of each upstream, at most once a minute.
    pub(super) fn log_implausible_reports(&self) {
        let now = self.clock.now();
        let ignored = self.scheduler.borrow_mut().take_implausible_reports(now);
        let names = self.names.borrow();
        for ImplausibleReports { upstream, count } in ignored {
            Line::new("load_reports_ignored")
                .with("upstream", names.upstream_name(upstream))
                .with("count", count)
                .warn();
        }
    }

    /// How fast upstreams work, and how old the reports were by which requests were assigned.
    pub fn pace_summary(&self) -> PaceSummary {
        self.scheduler.borrow().pace_summary(self.clock.now())
    }
}
