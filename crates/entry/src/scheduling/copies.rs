//! Log lines and counts of adapter copies that are loaded ahead of demand.

use {
    super::LocalScheduler,
    jasmine_core::{
        adapter_demand::Trend,
        scheduler::{CopyStatistics, PlannedLoad},
    },
    jasmine_telemetry::log::Line,
};

impl LocalScheduler {
    /// Counts of adapter copies where they are planned by demand.
    pub fn copy_statistics(&self) -> CopyStatistics {
        self.scheduler.borrow().copy_statistics()
    }

    pub(super) fn log_planned_loads(&self) {
        let planned = self.scheduler.borrow_mut().take_planned_loads();
        for load in planned {
            let PlannedLoad {
                upstream,
                adapter,
                rate,
                trend,
                queued,
                copies,
                wanted,
            } = load;
            let trend = match trend {
                Trend::Rising => "rising",
                Trend::Steady => "steady",
                Trend::Falling => "falling",
            };
            let names = self.names.borrow();
            Line::new("copy_planned")
                .with("upstream", names.upstream_name(upstream))
                .with("adapter", names.adapter_name(adapter))
                .with("per_s", format!("{rate:.1}"))
                .with("trend", trend)
                .with("queued", queued)
                .with("copies", copies)
                .with("wanted", wanted)
                .info();
        }
    }
}
