use {
    super::Event,
    jasmine_core::forward::PartKind,
    serde_json::{Map, Value},
};

/// What an engine says that an answer took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

impl Usage {
    /// All tokens together.
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

/// One JSON chunk of an engine's stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk {
    /// Tokens of the answer up to and with this chunk.
    pub offset: u64,
    /// The chunk as the engine wrote it.
    pub json: Map<String, Value>,
}

impl Chunk {
    /// Reads the event of a chunk; none when it is no chunk with an offset.
    pub fn from_event(event: &Event) -> Option<Self> {
        let offset = event.id.as_deref()?.trim().parse().ok()?;
        match serde_json::from_str(&event.data) {
            Ok(Value::Object(json)) => Some(Self { offset, json }),
            _ => None,
        }
    }

    /// The request that the chunk belongs to.
    pub fn request(&self) -> Option<&str> {
        self.json.get("id").and_then(Value::as_str)
    }

    /// What the chunk brings to an answer that has `known` tokens so far.
    pub fn kind(
        &self,
        known: u64,
    ) -> PartKind {
        match () {
            () if self.offset > known || self.has_text() => PartKind::Tokens,
            () if self.finish_reason().is_some() => PartKind::Finish,
            () if self.usage().is_some() => PartKind::Usage,
            () => PartKind::Opening,
        }
    }

    /// The count of tokens, where the chunk has one.
    pub fn usage(&self) -> Option<Usage> {
        self.json.get("usage").and_then(Usage::from_json)
    }

    /// Why the engine stopped, where the chunk says so.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choice()?.get("finish_reason").and_then(Value::as_str)
    }

    /// The text that the chunk adds.
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

    /// The chunk as the caller sees it: under its own request id and model name.
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
