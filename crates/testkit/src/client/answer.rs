use {
    serde_json::Value,
    std::{collections::BTreeMap, time::Duration},
};

/// Why a call brought no whole answer.
#[derive(Debug)]
#[derive(derive_more::Display)]
pub enum CallError {
    /// No connection, or it closed before the head of an answer.
    #[display("no answer: {_0}")]
    NoAnswer(String),
    /// The body stopped short.
    #[display("answer cut: {_0}")]
    Cut(String),
}

impl std::error::Error for CallError {}

/// How a stream of events ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum EndOfStream {
    /// The answer was whole and no stream.
    #[default]
    NoStream,
    /// With `[DONE]`.
    Done,
    /// With an event that carries an error: its code.
    Error(String),
    /// The connection closed without either.
    Cut,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers, names in small letters.
    pub headers: BTreeMap<String, String>,
    /// The body, null unless it is JSON.
    pub json: Value,
    /// The text of a completion, whole or put together from its parts.
    pub text: String,
    /// When each part of a stream came, counted from the call's start.
    pub parts: Vec<Duration>,
    /// The ids of the chunks, each once, in order.
    pub chunk_ids: Vec<String>,
    /// The usage that the answer closed with.
    pub usage: Value,
    /// How the stream ended.
    pub end: EndOfStream,
    /// How long the call took.
    pub took: Duration,
}

impl Answer {
    /// A header, empty without it.
    pub fn header(
        &self,
        name: &str,
    ) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The code of an error answer or of the event that ended a stream, empty without one.
    pub fn code(&self) -> &str {
        match &self.end {
            EndOfStream::Error(code) => code,
            _ => self.json["error"]["code"].as_str().unwrap_or_default(),
        }
    }

    /// Whether a completion came whole.
    pub fn is_whole(&self) -> bool {
        self.status == 200 && matches!(self.end, EndOfStream::NoStream | EndOfStream::Done)
    }
}
