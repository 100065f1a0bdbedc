use {
    super::{Chunk, Usage},
    crate::request::CompletionKind,
    serde_json::{Value, json},
};

/// Assembles the chunks of a stream into a buffered completion.
///
/// Engines always stream, since a stream can be resumed and distinguishes a slow engine from a dead
/// connection.
#[derive(Clone, Debug, Default)]
pub struct AnswerBuilder {
    text: String,
    finish_reason: Option<String>,
    created: Option<u64>,
    usage: Usage,
}

impl AnswerBuilder {
    /// Adds a chunk.
    pub fn add(
        &mut self,
        chunk: &Chunk,
    ) {
        self.text.push_str(chunk.text());
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason.to_owned());
        }
        if let Some(usage) = chunk.usage() {
            self.usage = usage;
        }
        self.created = self
            .created
            .or_else(|| chunk.json.get("created").and_then(Value::as_u64));
    }

    /// Returns the complete JSON response.
    pub fn into_answer(
        self,
        kind: CompletionKind,
        request_id: &str,
        model: &str,
    ) -> Value {
        let reason = self.finish_reason;
        let (object, choice) = match kind {
            CompletionKind::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": self.text},
                    "finish_reason": reason,
                }),
            ),
            CompletionKind::Plain => (
                "text_completion",
                json!({"index": 0, "text": self.text, "logprobs": null, "finish_reason": reason}),
            ),
        };
        json!({
            "id": request_id,
            "object": object,
            "created": self.created.unwrap_or_default(),
            "model": model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.usage.prompt_tokens,
                "completion_tokens": self.usage.completion_tokens,
                "total_tokens": self.usage.total(),
            },
        })
    }
}
