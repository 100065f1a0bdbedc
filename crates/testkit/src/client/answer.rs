use {
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
};

/// Why a call got no complete answer.
#[derive(Debug)]
#[derive(derive_more::Display)]
pub enum CallError {
    /// The connection failed or closed before the response head.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The body was truncated.
    #[display("answer truncated: {_0}")]
    Cut(String),
}

impl std::error::Error for CallError {}

/// How an SSE stream ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum EndOfStream {
    /// The answer was not a stream.
    #[default]
    NoStream,
    /// It ended with `[DONE]`.
    Done,
    /// It ended with an error event that has this code.
    Error(String),
    /// The connection closed before an end marker.
    Cut,
}

/// The response to a call.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// Headers with lowercase names.
    pub headers: BTreeMap<String, String>,
    /// The JSON body, null for other content.
    pub json: Value,
    /// The completion text, concatenated if streamed.
    pub text: String,
    /// Arrival time of each stream chunk since the start of the call.
    pub parts: Vec<Duration>,
    /// Ids of the chunks in order, without consecutive duplicates.
    pub chunk_ids: Vec<String>,
    /// The `usage` object of the answer.
    pub usage: Value,
    /// How the stream ended.
    pub end: EndOfStream,
    /// Duration of the call.
    pub took: Duration,
}

impl Answer {
    /// Returns a header, empty if absent.
    pub fn header(
        &self,
        name: &str,
    ) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Error code of the response or of the final stream event, empty if none.
    pub fn code(&self) -> &str {
        match &self.end {
            EndOfStream::Error(code) => code,
            _ => self.json["error"]["code"].as_str().unwrap_or_default(),
        }
    }

    /// Whether the call succeeded and the body is complete.
    pub fn is_complete(&self) -> bool {
        self.status == 200 && matches!(self.end, EndOfStream::NoStream | EndOfStream::Done)
    }
}
