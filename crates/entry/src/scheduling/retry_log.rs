use {
    super::line_limit::LineLimit,
    jasmine_core::{clock::Millis, scheduler::RetryRecord},
    jasmine_telemetry::log::Line,
};

/// Lines written in each second about retries that were granted, which the budget bounds in the long run.
const MAX_GRANTED_LINES_PER_S: u32 = 100;
/// The same about refused ones.
const MAX_REFUSED_LINES_PER_S: u32 = 10;

/// Writes the log lines of decisions about retries.
#[derive(Debug)]
pub struct RetryLog {
    granted: LineLimit,
    refused: LineLimit,
}

impl Default for RetryLog {
    fn default() -> Self {
        Self {
            granted: LineLimit::new(MAX_GRANTED_LINES_PER_S),
            refused: LineLimit::new(MAX_REFUSED_LINES_PER_S),
        }
    }
}

impl RetryLog {
    /// Logs a decision, or counts it if enough were logged in this second.
    pub fn log(
        &mut self,
        record: &RetryRecord,
        service: &str,
        now: Millis,
    ) {
        let (limit, end) = if record.is_granted {
            (&mut self.granted, "granted")
        } else {
            (&mut self.refused, "refused")
        };
        let Some(unlogged) = limit.admit(now) else {
            return;
        };
        Line::new("retry_decided")
            .with("request", format!("{:016x}", record.caller.0))
            .with("vm", record.attempt_id.vm)
            .with("attempt", record.attempt)
            .with("service", service)
            .with("end", end)
            .with("share", record.decider.as_str())
            .with("requests", record.counts.requests)
            .with("retries", record.counts.retries)
            .with("allowed", format!("{:.1}", record.allowed))
            .with("unlogged", unlogged)
            .info();
    }
}
