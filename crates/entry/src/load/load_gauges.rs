use {
    super::{AskEnd, WorkPart},
    crate::{gauges::create_gauge, scheduling::SchedulerNode},
    jasmine_core::clock::Millis,
    opentelemetry::{
        KeyValue,
        metrics::{Gauge, Meter},
    },
};

/// The gauges of a VM's load.
#[derive(Debug)]
pub struct LoadGauges {
    work: Gauge<u64>,
    late: Gauge<u64>,
    oldest: Gauge<u64>,
    asks: Gauge<u64>,
    asks_repeated: Gauge<u64>,
    refused_here: Gauge<u64>,
}

impl LoadGauges {
    /// Creates the gauges.
    pub fn new(meter: &Meter) -> Self {
        let gauge = |name, description| create_gauge(meter, name, description);
        Self {
            work: gauge(
                "jasmine_work_ms",
                "Processor time of this VM's main thread since it started, by part, estimated",
            ),
            late: gauge(
                "jasmine_late_ms",
                "How late the latest task of this VM has run in the last second",
            ),
            oldest: gauge(
                "jasmine_oldest_ms",
                "How long the oldest waiting request has waited at this scheduler, by its work",
            ),
            asks: gauge(
                "jasmine_asks",
                "Questions to the leader since this VM started, by how they ended",
            ),
            asks_repeated: gauge(
                "jasmine_asks_repeated",
                "Those of them about a request about which it was asked before",
            ),
            refused_here: gauge(
                "jasmine_refused_here",
                "Requests of accounts over their rate that this VM refused without asking since it started",
            ),
        }
    }

    /// Updates the gauges; `late` is how late the latest task has run in the last second.
    pub fn record(
        &self,
        scheduling: &SchedulerNode,
        late: Millis,
    ) {
        let scheduler = &scheduling.local_scheduler;
        for part in WorkPart::ALL {
            let spent = u64::try_from(scheduler.work.spent(part).as_millis()).unwrap_or(u64::MAX);
            self.work
                .record(spent, &[KeyValue::new("part", part.as_str())]);
        }
        self.late.record(late.0, &[]);
        let ages = scheduler.waiting_ages();
        for (work, age) in [("call", ages.call), ("generation", ages.generation)] {
            self.oldest.record(age.0, &[KeyValue::new("work", work)]);
        }
        for end in AskEnd::ALL {
            let count = scheduling.asks.ended(end);
            self.asks
                .record(count, &[KeyValue::new("end", end.as_str())]);
        }
        self.asks_repeated.record(scheduling.asks.repeated(), &[]);
        self.refused_here
            .record(scheduling.asks.answered_here(), &[]);
    }
}
