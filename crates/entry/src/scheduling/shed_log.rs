use {
    super::line_limit::LineLimit,
    jasmine_core::{clock::Millis, overload::ShedRecord},
    jasmine_telemetry::log::Line,
};

/// Lines written in each second; the others are counted.
///
/// At several hundred refusals a second, a line each would take a good part of a small VM.
const MAX_LINES_PER_S: u32 = 20;

/// Writes the log lines of requests that were refused by urgency.
#[derive(Debug)]
pub struct ShedLog {
    limit: LineLimit,
}

impl Default for ShedLog {
    fn default() -> Self {
        Self {
            limit: LineLimit::new(MAX_LINES_PER_S),
        }
    }
}

impl ShedLog {
    /// Logs a refusal, or counts it if enough were logged in this second.
    pub fn log(
        &mut self,
        record: &ShedRecord,
        service: &str,
        now: Millis,
    ) {
        let Some(unlogged) = self.limit.admit(now) else {
            return;
        };
        let estimate = &record.estimate;
        let age = estimate.capacity_age;
        let reason = record.waited_for.map_or("-", |reason| reason.as_str());
        Line::new("request_shed")
            .with("request", format!("{:016x}", record.caller.0))
            .with("vm", record.attempt_id.vm)
            .with("service", service)
            .with("class", estimate.class.priority())
            .with("expected_wait_ms", estimate.wait)
            .with("work_ahead", format!("{:.1}", estimate.work_ahead))
            .with("capacity_per_ms", format!("{:.3}", estimate.capacity))
            .with(
                "capacity_age_ms",
                age.map_or_else(|| "-".to_owned(), |age| age.to_string()),
            )
            .with("waited_for", reason)
            .with("unlogged", unlogged)
            .info();
    }
}
