use {super::LogLine, serde::Serialize};

/// What concerns one request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Story {
    /// The request's id.
    pub id: String,
    /// The lines that name it, in order of time.
    pub own: Vec<LogLine>,
    /// What the daemons concerned believed, the latest of each kind, in order of time.
    pub context: Vec<LogLine>,
    /// Lines that could not be read.
    pub torn: u64,
}

impl Story {
    pub(super) fn new(id: &str) -> Self {
        Self {
            id: id.to_owned(),
            own: Vec::new(),
            context: Vec::new(),
            torn: 0,
        }
    }

    /// Keeps the latest line of each kind, process and upstream.
    pub(super) fn note(
        &mut self,
        line: LogLine,
    ) {
        let is_same = |known: &LogLine| {
            known.event == line.event
                && known.process == line.process
                && known.get("upstream") == line.get("upstream")
        };
        self.context.retain(|known| !is_same(known));
        self.context.push(line);
    }

    /// The line that says how it ended.
    pub fn end(&self) -> Option<&LogLine> {
        self.own.iter().rev().find(|line| {
            matches!(
                line.event.as_str(),
                "request_ended" | "request_given_up" | "request_refused"
            )
        })
    }

    /// The cause in a sentence.
    pub fn cause(&self) -> String {
        let Some(end) = self.end() else {
            return "No line says how it ended: the process that had it was killed, or its lines were dropped."
                .to_owned();
        };
        let failed = self
            .own
            .iter()
            .rev()
            .find(|line| line.event == "attempt_failed");
        let upstream = failed.map_or("-", |line| line.word("upstream"));
        let how = failed.map_or("-", |line| line.word("outcome"));
        match (end.event.as_str(), end.word("kind")) {
            ("request_ended", _) if end.word("result") == "caller_gone" => format!(
                "Its caller left after {} ms; {}.",
                end.word("took_ms"),
                match end.word("upstream") {
                    "-" => "it was still waiting for an upstream".to_owned(),
                    upstream => format!(
                        "it had been sent to {upstream} after {} ms",
                        end.word("sent_ms")
                    ),
                }
            ),
            ("request_ended", _) => format!(
                "It was answered by {} after {} ms, {} ms of them in wait for an upstream.",
                end.word("upstream"),
                end.word("took_ms"),
                end.word("waited_ms")
            ),
            (_, "rate_limited") => format!(
                "Account {} was over its rate: {} tokens were not there, and would be after {} ms. Decided by {}.",
                end.word("account"),
                end.word("cost"),
                end.word("retry_after_ms"),
                end.word("decided_by")
            ),
            (_, "cannot_meet_deadline") => format!(
                "It could not be sent before its deadline: {} ms in wait, decided by {}.",
                end.word("waited_ms"),
                end.word("decided_by")
            ),
            (_, "no_upstream") => format!(
                "No upstream took it: the last one tried, {upstream}, ended with {how}. Nothing ran."
            ),
            (_, "answer_cut") => format!(
                "Upstream {upstream} stopped in the middle ({how}); the caller has {} events.",
                end.word("events")
            ),
            (_, "upstream_lost" | "deadline_exceeded") if failed.is_some() => {
                format!(
                    "Upstream {upstream} had it and ended with {how}; whether it ran is not known."
                )
            }
            (_, "key_unknown" | "key_missing" | "not_found") => format!(
                "Configuration {} has no such key or route.",
                end.word("config")
            ),
            (_, "config_unavailable") => "This VM had no configuration yet.".to_owned(),
            (_, "shutting_down") => "This VM was being stopped.".to_owned(),
            (_, kind) => format!("It was refused: {kind}."),
        }
    }

    /// The whole story in plain sentences, a line each.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!("Request {}: {}", self.id, self.cause())];
        lines.extend(self.own.iter().map(sentence));
        if !self.context.is_empty() {
            lines.push("What was known then:".to_owned());
            lines.extend(self.context.iter().map(sentence));
        }
        if self.torn > 0 {
            lines.push(format!("{} lines could not be read.", self.torn));
        }
        lines
    }
}

fn sentence(line: &LogLine) -> String {
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
