use {
    super::{NameInterner, job_spec::adapter_part, line_limit::LineLimit},
    jasmine_core::{
        clock::Millis,
        ids::PartId,
        quarantine::{CrashRef, PartSet, QuarantineEvent, join_parts},
    },
    jasmine_telemetry::log::Line,
    std::collections::BTreeMap,
};

/// Lines written in each second about suspected requests that were sent and crashes that ended.
const MAX_LINES_PER_S: u32 = 100;

/// Writes the log lines of what happens to evidence and verdicts, and counts them.
#[derive(Debug)]
pub struct QuarantineLog {
    limit: LineLimit,
    counts: BTreeMap<&'static str, u64>,
}

impl Default for QuarantineLog {
    fn default() -> Self {
        Self {
            limit: LineLimit::new(MAX_LINES_PER_S),
            counts: BTreeMap::new(),
        }
    }
}

impl QuarantineLog {
    /// How often each event has happened since this VM started.
    pub const fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }

    /// Logs and counts an event.
    pub fn log(
        &mut self,
        event: &QuarantineEvent,
        names: &NameInterner,
        now: Millis,
    ) {
        let (name, line) = begin_line(event);
        *self.counts.entry(name).or_default() += 1;
        match event {
            QuarantineEvent::Added {
                parts,
                source,
                crashes,
            } => with_parts(line, parts, names)
                .with("by", source)
                .with("crashes", crashes.len())
                .with("on", join_crashes(crashes, names))
                .warn(),
            QuarantineEvent::Removed { parts, source } => {
                with_parts(line, parts, names).with("by", source).warn();
            }
            QuarantineEvent::Sent {
                request,
                upstream,
                accused,
                probed,
            } => {
                let Some(unlogged) = self.limit.admit(now) else {
                    return;
                };
                let late = accused.iter().map(|one| one.late).max();
                let accused = accused.iter();
                let accused: Vec<String> = accused
                    .map(|one| format!("{}:{}", one.part, one.crashes))
                    .collect();
                line.with("request", number_of(*request))
                    .with("upstream", names.upstream_name(*upstream))
                    .with("accused", accused.join(","))
                    .with("late", late.unwrap_or_default())
                    .with("probed", join_verdicts(probed))
                    .with("unlogged", unlogged)
                    .info();
            }
            QuarantineEvent::Ended {
                upstream,
                seen,
                requests,
            } => {
                let Some(unlogged) = self.limit.admit(now) else {
                    return;
                };
                let requests = requests.iter().map(|&request| number_of(request));
                let requests: Vec<String> = requests.collect();
                line.with("upstream", names.upstream_name(*upstream))
                    .with("seen", seen)
                    .with("requests", requests.join(","))
                    .with("unlogged", unlogged)
                    .info();
            }
            QuarantineEvent::Dropped { crash, end } => {
                let Some(unlogged) = self.limit.admit(now) else {
                    return;
                };
                line.with("crash", join_crashes(&[*crash], names))
                    .with("reason", end)
                    .with("unlogged", unlogged)
                    .info();
            }
        }
    }
}

/// The event's name in metrics, and its line in the log.
fn begin_line(event: &QuarantineEvent) -> (&'static str, Line) {
    let is_of_request = |parts: &PartSet| parts.iter().any(|part| part.is_request());
    match event {
        QuarantineEvent::Added { parts, .. } if is_of_request(parts) => {
            ("request_quarantined", Line::new("request_quarantined"))
        }
        QuarantineEvent::Added { .. } => ("prompt_quarantined", Line::new("prompt_quarantined")),
        QuarantineEvent::Removed { parts, .. } if is_of_request(parts) => {
            ("request_released", Line::new("request_released"))
        }
        QuarantineEvent::Removed { .. } => ("prompt_released", Line::new("prompt_released")),
        QuarantineEvent::Sent { probed, .. } if !probed.is_empty() => {
            ("probe_sent", Line::new("suspect_sent"))
        }
        QuarantineEvent::Sent { .. } => ("suspect_sent", Line::new("suspect_sent")),
        QuarantineEvent::Ended { .. } => ("upstream_ended", Line::new("upstream_ended")),
        QuarantineEvent::Dropped { .. } => ("crash_dropped", Line::new("crash_dropped")),
    }
}

fn with_parts(
    line: Line,
    parts: &PartSet,
    names: &NameInterner,
) -> Line {
    if let Some(request) = parts.iter().find(|part| part.is_request()) {
        return line.with("request", request);
    }
    line.with("parts", join_parts(parts, ","))
        .with("adapters", adapter_names(parts, names))
}

/// The number of a request, as other lines have it.
fn number_of(request: PartId) -> String {
    match request {
        PartId::Request(number) => format!("{number:016x}"),
        other => other.to_string(),
    }
}

/// The upstreams that crashed and how many milliseconds ago, as `e-1:400,e-2:900`; `-` if there are none.
fn join_crashes(
    crashes: &[CrashRef],
    names: &NameInterner,
) -> String {
    if crashes.is_empty() {
        return "-".to_owned();
    }
    let texts = crashes.iter().map(|crash| {
        let upstream = names.upstream_name(crash.upstream);
        format!("{upstream}:{}", crash.ago.0)
    });
    texts.collect::<Vec<_>>().join(",")
}

/// Verdicts, as the store's keys name them: `bad1,bad2-bad3`; `-` if there are none.
fn join_verdicts(verdicts: &[PartSet]) -> String {
    if verdicts.is_empty() {
        return "-".to_owned();
    }
    let texts: Vec<String> = verdicts.iter().map(|one| join_parts(one, "-")).collect();
    texts.join(",")
}

/// The adapters among parts, as far as this VM has heard of them; `-` if there are none.
fn adapter_names(
    parts: &PartSet,
    names: &NameInterner,
) -> String {
    let adapters = names.adapters();
    let adapters: Vec<&str> = adapters
        .filter(|name| parts.contains(&adapter_part(name)))
        .collect();
    if adapters.is_empty() {
        return "-".to_owned();
    }
    adapters.join(",")
}
