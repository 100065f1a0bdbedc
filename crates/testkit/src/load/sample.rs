use crate::client::{Answer, CallError};

/// Result of one request as seen by the caller.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Index of the account in the spec.
    pub account: usize,
    /// Send time since the start, in milliseconds.
    pub sent_ms: u64,
    /// Maximum cost that the gateway charges, in tokens.
    pub cost_bound: u64,
    /// Cost counted by the engine, in tokens; 0 when refused.
    pub cost: u64,
    /// Whether the answer is complete and correct.
    pub is_correct: bool,
    /// Whether the text differs from the expected one.
    pub has_wrong_text: bool,
    /// Error code, empty on success.
    pub code: String,
    /// Whether the error says that the request was not run.
    pub is_not_run: bool,
    /// Time to first token, in microseconds.
    pub first_us: u64,
    /// Times between tokens, in microseconds.
    pub gaps_us: Vec<u64>,
    /// Duration of the call, in milliseconds.
    pub took_ms: u64,
}

impl Sample {
    pub(super) fn new(
        account: usize,
        sent_ms: u64,
        cost_bound: u64,
        expected: &str,
        outcome: Result<Answer, CallError>,
    ) -> Self {
        let answer = outcome.unwrap_or_else(|e| {
            let code = match e {
                CallError::NoAnswer(_) => "no_answer",
                CallError::Cut(_) => "cut",
            };
            Answer {
                json: serde_json::json!({"error": {"code": code}}),
                ..Answer::default()
            }
        });
        let usage = |name: &str| answer.usage[name].as_u64().unwrap_or(0);
        let pairs = answer.parts.iter().zip(answer.parts.iter().skip(1));
        let code = match answer.is_complete() {
            true => String::new(),
            false if answer.code().is_empty() => "cut_unmarked".to_owned(),
            false => answer.code().to_owned(),
        };
        Self {
            account,
            sent_ms,
            cost_bound,
            cost: usage("prompt_tokens") + usage("completion_tokens"),
            is_correct: answer.is_complete() && answer.text == expected,
            has_wrong_text: !expected.starts_with(&answer.text)
                || (answer.is_complete() && answer.text != expected),
            code,
            is_not_run: answer.json["error"]["execution"] == "not_run",
            first_us: answer.parts.first().map_or(0, |at| at.as_micros() as u64),
            gaps_us: pairs
                .map(|(a, b)| b.saturating_sub(*a).as_micros() as u64)
                .collect(),
            took_ms: answer.took.as_millis() as u64,
        }
    }
}
