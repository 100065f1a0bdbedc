use opentelemetry::metrics::{Gauge, Meter};

/// The gauges, which are updated at each scrape.
#[derive(Debug)]
pub(super) struct Gauges {
    pub queued: Gauge<u64>,
    pub running: Gauge<u64>,
    pub in_flight: Gauge<u64>,
    pub connections: Gauge<u64>,
    pub leading: Gauge<u64>,
    pub config: Gauge<u64>,
    pub config_age: Gauge<u64>,
    pub view_age: Gauge<u64>,
    pub waited: Gauge<u64>,
    pub learned_costs: Gauge<u64>,
    pub cost_errors: Gauge<u64>,
    pub pace_lowest: Gauge<u64>,
    pub pace_highest: Gauge<u64>,
    pub reports_ignored: Gauge<u64>,
    pub report_decisions: Gauge<u64>,
    pub report_ages: Gauge<u64>,
    pub copies: Gauge<u64>,
    pub copies_planned: Gauge<u64>,
    pub copies_in_vain: Gauge<u64>,
    pub return_times: Gauge<u64>,
    pub retries: Gauge<u64>,
    pub quarantine: Gauge<u64>,
    pub bytes: Gauge<u64>,
    pub bytes_waiting: Gauge<u64>,
    pub bytes_paused: Gauge<u64>,
}

/// Creates a gauge.
pub(super) fn create_gauge(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}

impl Gauges {
    pub(super) fn new(meter: &Meter) -> Self {
        let gauge = |name, description| create_gauge(meter, name, description);
        Self {
            queued: gauge(
                "jasmine_queued",
                "Requests that wait for an upstream at this scheduler",
            ),
            running: gauge(
                "jasmine_running",
                "Requests that this scheduler has assigned",
            ),
            in_flight: gauge("jasmine_in_flight", "Requests of callers of this VM"),
            connections: gauge("jasmine_connections", "Open connections of callers"),
            leading: gauge("jasmine_leading", "Whether this VM schedules for all"),
            config: gauge("jasmine_config_version", "The configuration in force"),
            config_age: gauge(
                "jasmine_config_age_ms",
                "How long ago this VM took the configuration in force",
            ),
            view_age: gauge(
                "jasmine_view_age_ms",
                "How long ago the store held no other changes than this VM has applied",
            ),
            retries: gauge(
                "jasmine_retries_decided",
                "Retries that this scheduler has granted and refused since it started, by the share of the budget",
            ),
            quarantine: gauge(
                "jasmine_quarantine_events",
                "What happened to evidence and verdicts about requests that crash upstreams since this VM started, by event",
            ),
            return_times: gauge(
                "jasmine_return_times",
                "Return times that this scheduler has promised since it started, kept and released ones",
            ),
            waited: gauge(
                "jasmine_waited_ms",
                "How long requests have waited at this scheduler since it started, by what for",
            ),
            learned_costs: gauge(
                "jasmine_learned_costs",
                "Entries of the table of learned costs of requests",
            ),
            cost_errors: gauge(
                "jasmine_cost_errors",
                "Requests that ended since the start, by the ratio of measured to expected cost",
            ),
            pace_lowest: gauge(
                "jasmine_pace_lowest_percent",
                "Time of work at the fastest upstream in percent of the usual, 0 if none is known",
            ),
            pace_highest: gauge(
                "jasmine_pace_highest_percent",
                "Time of work at the slowest upstream in percent of the usual, 0 if none is known",
            ),
            reports_ignored: gauge(
                "jasmine_load_reports_ignored",
                "Load reports that were ignored as implausible, of all upstreams known now",
            ),
            report_decisions: gauge(
                "jasmine_load_report_decisions",
                "Requests assigned by this scheduler to upstreams whose load reports take effect",
            ),
            report_ages: gauge(
                "jasmine_load_report_age_ms",
                "Sum of the ages of the newest load reports at those decisions",
            ),
            copies: gauge(
                "jasmine_adapter_copies",
                "Adapters on all engines, each copy counted, where they are planned by demand",
            ),
            copies_planned: gauge(
                "jasmine_adapter_loads_planned",
                "Loads of further copies that this scheduler ordered by demand since it started",
            ),
            copies_in_vain: gauge(
                "jasmine_adapter_loads_in_vain",
                "Those ahead of demand for which no request came",
            ),
            bytes: gauge(
                "jasmine_bytes_held",
                "Bytes held of bodies and answers, by part of the budget",
            ),
            bytes_waiting: gauge(
                "jasmine_bytes_waiting",
                "Bodies and answers that wait unread for room",
            ),
            bytes_paused: gauge(
                "jasmine_exchanges_paused",
                "Streams whose upstream isn't read, as their caller reads slowly",
            ),
        }
    }
}
