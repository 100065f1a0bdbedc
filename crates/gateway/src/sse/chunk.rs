use {
    super::Event,
    jasmine_core::forward::PartKind,
    serde_json::{Map, Value},
};

/// Token usage as reported by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens that the engine counted in the request's prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

impl Usage {
    /// Returns the sum of prompt and generated tokens.
    pub const fn total(self) -> u64 {
        self.prompt_tokens.saturating_add(self.completion_tokens)
    }

    fn from_json(value: &Value) -> Option<Self> {
        let field = |name: &str| value.get(name).and_then(Value::as_u64);
        Some(Self {
            prompt_tokens: field("prompt_tokens")?,
            completion_tokens: field("completion_tokens")?,
        })
    }
}

/// A JSON chunk of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Number of generated tokens up to and including this chunk.
    pub offset: u64,
    /// The chunk as the engine sent it.
    pub json: Map<String, Value>,
}

impl Chunk {
    /// Parses an event; `None` if its id is not an offset or its data is not a JSON object.
    pub fn from_event(event: &Event) -> Option<Self> {
        let offset = event.id.as_deref()?.trim().parse().ok()?;
        match serde_json::from_str(&event.data) {
            Ok(Value::Object(json)) => Some(Self { offset, json }),
            _ => None,
        }
    }

    /// Returns the id of the request that the chunk belongs to.
    pub fn request(&self) -> Option<&str> {
        self.json.get("id").and_then(Value::as_str)
    }

    /// Classifies the chunk for a stream that has `known_tokens` tokens so far.
    pub fn kind(
        &self,
        known_tokens: u64,
    ) -> PartKind {
        match () {
            () if self.offset > known_tokens || self.has_text() => PartKind::Tokens,
            () if self.finish_reason().is_some() => PartKind::Finish,
            () if self.usage().is_some() => PartKind::Usage,
            () => PartKind::Opening,
        }
    }

    /// Returns the token usage, if present.
    pub fn usage(&self) -> Option<Usage> {
        self.json.get("usage").and_then(Usage::from_json)
    }

    /// Returns the finish reason, if present.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choice()?.get("finish_reason").and_then(Value::as_str)
    }

    /// Returns the generated text, or an empty string.
    pub fn text(&self) -> &str {
        let choice = self.choice();
        let delta = choice
            .and_then(|choice| choice.get("delta"))
            .and_then(|delta| delta.get("content"));
        delta
            .or_else(|| choice.and_then(|choice| choice.get("text")))
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Serializes the chunk with the caller's request id and model name.
    pub fn for_caller(
        mut self,
        request_id: &str,
        model: &str,
        with_usage: bool,
    ) -> String {
        self.json.insert("id".to_owned(), Value::from(request_id));
        self.json.insert("model".to_owned(), Value::from(model));
        if !with_usage {
            self.json.remove("usage");
        }
        Value::Object(self.json).to_string()
    }

    fn has_text(&self) -> bool {
        !self.text().is_empty()
    }

    fn choice(&self) -> Option<&Value> {
        self.json.get("choices")?.get(0)
    }
}
