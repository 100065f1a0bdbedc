use {super::LogLine, serde::Serialize};

/// The log lines related to one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RequestTrace {
    /// The request's id.
    pub id: String,
    /// Lines with the request's id, and what was decided about it and its other attempts, in time order.
    #[serde(rename = "own")]
    pub request_lines: Vec<LogLine>,
    /// State of the involved processes and upstreams: the latest line of each kind, in time order.
    pub context: Vec<LogLine>,
    /// Number of lines that could not be parsed.
    #[serde(rename = "torn")]
    pub unparsed_lines: u64,
}

impl RequestTrace {
    pub(super) fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            request_lines: Vec::new(),
            context: Vec::new(),
            unparsed_lines: 0,
        }
    }

    /// Adds a line, replacing an older one of the same event, process and upstream.
    pub(super) fn add_context(
        &mut self,
        line: LogLine,
    ) {
        let is_same_kind = |known: &LogLine| {
            known.event == line.event
                && known.process == line.process
                && known.get("upstream") == line.get("upstream")
        };
        self.context.retain(|known| !is_same_kind(known));
        self.context.push(line);
    }

    /// The last line that reports the end of the request.
    pub fn end_event(&self) -> Option<&LogLine> {
        self.request_lines.iter().rev().find(|line| {
            matches!(
                line.event.as_str(),
                "request_ended" | "request_given_up" | "request_refused"
            )
        })
    }

    /// Describes how the request ended, in one sentence.
    pub fn cause(&self) -> String {
        let Some(end) = self.end_event() else {
            return "No line reports its end: the process that handled it was killed, or log lines were dropped."
                .to_owned();
        };
        let last_failure = self
            .request_lines
            .iter()
            .rev()
            .find(|line| line.event == "attempt_failed");
        let upstream = last_failure.map_or("-", |line| line.get_or_dash("upstream"));
        let outcome = last_failure.map_or("-", |line| line.get_or_dash("outcome"));
        match (end.event.as_str(), end.get_or_dash("kind")) {
            ("request_ended", _) if end.get_or_dash("result") == "caller_gone" => format!(
                "The caller disconnected after {} ms; {}.",
                end.get_or_dash("took_ms"),
                match end.get_or_dash("upstream") {
                    "-" => "it was still waiting for an upstream".to_owned(),
                    upstream => format!(
                        "it had been sent to {upstream} after {} ms",
                        end.get_or_dash("sent_ms")
                    ),
                }
            ),
            ("request_ended", _) => format!(
                "It was answered by {} after {} ms, including {} ms waiting for an upstream.",
                end.get_or_dash("upstream"),
                end.get_or_dash("took_ms"),
                end.get_or_dash("waited_ms")
            ),
            (_, "rate_limited") => format!(
                "Account {} was over its rate: {} tokens were not available; retry after {} ms. Decided by {}.",
                end.get_or_dash("account"),
                end.get_or_dash("cost"),
                end.get_or_dash("retry_after_ms"),
                end.get_or_dash("decided_by")
            ),
            (_, "cannot_meet_deadline") => format!(
                "It could not be sent before its deadline: {} ms waiting, decided by {}.",
                end.get_or_dash("waited_ms"),
                end.get_or_dash("decided_by")
            ),
            (_, "no_upstream") => format!(
                "No upstream took it: the last one tried, {upstream}, ended with {outcome}. Nothing ran."
            ),
            (_, "evacuated") => format!(
                "All data centres with upstreams for it were evacuated, decided by {}. Nothing ran.",
                end.get_or_dash("decided_by")
            ),
            (_, "region_unavailable") => format!(
                "No upstream was in a region that route {} and account {} allow. Nothing ran.",
                end.get_or_dash("route"),
                end.get_or_dash("account")
            ),
            (_, "answer_cut") => format!(
                "Upstream {upstream} stopped in the middle ({outcome}); the caller has {} events.",
                end.get_or_dash("events")
            ),
            (_, "upstream_lost" | "deadline_exceeded") if last_failure.is_some() => {
                format!(
                    "Upstream {upstream} had it and ended with {outcome}; whether it ran is not known."
                )
            }
            (_, "key_unknown" | "key_missing" | "not_found") => format!(
                "Configuration {} has no such key or route.",
                end.get_or_dash("config")
            ),
            (_, "config_unavailable") => match end.get_or_dash("rule") {
                "no_config" | "-" => "This VM had no configuration yet.".to_owned(),
                rule => format!(
                    "By the rule {rule} of a configuration that may be outdated, and that the store did not confirm."
                ),
            },
            (_, "shutting_down") => "This VM was shutting down.".to_owned(),
            (_, kind) => format!("It was refused: {kind}."),
        }
    }

    /// Formats the whole trace, one line per event.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("Request {}: {}", self.id, self.cause())];
        lines.extend(self.request_lines.iter().map(format_line));
        if !self.context.is_empty() {
            lines.push("State at that time:".to_owned());
            lines.extend(self.context.iter().map(format_line));
        }
        if self.unparsed_lines > 0 {
            lines.push(format!("{} lines could not be read.", self.unparsed_lines));
        }
        lines
    }
}

fn format_line(line: &LogLine) -> String {
    let pairs: Vec<String> = line
        .pairs
        .iter()
        .filter(|(key, _)| key != "id" && key != "level")
        .map(|(key, value)| format!("{key} {value}"))
        .collect();
    let event = line.event.replace('_', " ");
    format!(
        "  {} {}: {event} ({})",
        line.time,
        line.process,
        pairs.join(", ")
    )
}
