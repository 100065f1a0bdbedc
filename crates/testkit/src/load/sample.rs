use crate::client::{Answer, CallError};

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Place of the account in the spec.
    pub account: usize,
    /// When it was sent, milliseconds from the start.
    pub sent_ms: u64,
    /// The most tokens it could cost, as the gateway charges it.
    pub cost_bound: u64,
    /// The tokens it cost, as the engine counted them; nought when refused.
    pub cost: u64,
    /// Whether the answer came whole and was the right text.
    pub whole: bool,
    /// Whether the text was another than asked for.
    pub wrong: bool,
    /// The code of a refusal, a broken stream or a failed call; empty when whole.
    pub code: String,
    /// Whether the refusal said that nothing ran.
    pub not_run: bool,
    /// Microseconds to the first token.
    pub first_us: u64,
    /// Microseconds between tokens.
    pub gaps_us: Vec<u64>,
    /// Milliseconds until a refusal came.
    pub refused_ms: u64,
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
        let code = match answer.is_whole() {
            true => String::new(),
            false if answer.code().is_empty() => "cut_unmarked".to_owned(),
            false => answer.code().to_owned(),
        };
        Self {
            account,
            sent_ms,
            cost_bound,
            cost: usage("prompt_tokens") + usage("completion_tokens"),
            whole: answer.is_whole() && answer.text == expected,
            wrong: !expected.starts_with(&answer.text)
                || (answer.is_whole() && answer.text != expected),
            code,
            not_run: answer.json["error"]["execution"] == "not_run",
            first_us: answer.parts.first().map_or(0, |at| at.as_micros() as u64),
            gaps_us: pairs
                .map(|(a, b)| b.saturating_sub(*a).as_micros() as u64)
                .collect(),
            refused_ms: answer.took.as_millis() as u64,
        }
    }
}
