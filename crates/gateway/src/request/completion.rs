use {
    super::{CallerKey, DEFAULT_MAX_TOKENS, Problem, completion_cost},
    serde_json::{Map, Value, json},
};

/// Maximum length of a model name, in bytes.
const MAX_MODEL_BYTES: usize = 256;
/// Maximum number of tokens that a caller may request.
const MAX_TOKENS: u64 = 1 << 20;
/// Unsupported fields: their results can't be assembled from a stream.
const UNSUPPORTED_FIELDS: [&str; 9] = [
    "tools",
    "tool_choice",
    "functions",
    "function_call",
    "logprobs",
    "top_logprobs",
    "echo",
    "suffix",
    "modalities",
];

/// The endpoint of a completion request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Plain,
}

impl CompletionKind {
    /// Returns the URL path, which is the same at gateways and engines.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Plain => "/v1/completions",
        }
    }
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    /// Endpoint of the request.
    pub kind: CompletionKind,
    /// Model name as the caller sent it.
    pub model: String,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Whether the caller requested token usage in the stream.
    pub with_usage: bool,
    /// Upper bound of the cost, in tokens.
    pub cost: u64,
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses and validates a request body.
    ///
    /// # Errors
    ///
    /// `bad_request` with the invalid field.
    pub fn parse(
        kind: CompletionKind,
        body: &[u8],
    ) -> Result<Self, Problem> {
        let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
            return Err(Problem::bad_request("The body is not a JSON object."));
        };
        let model = model(&fields)?;
        let stream = flag(fields.get("stream"), "stream must be true or false.")?;
        let with_usage = flag(
            fields
                .get("stream_options")
                .and_then(|options| options.get("include_usage")),
            "stream_options.include_usage must be true or false.",
        )?;
        refuse_unsupported(&fields)?;
        let max_tokens = max_tokens(&fields)?;
        let (bytes, messages) = match kind {
            CompletionKind::Chat => chat_size(&fields)?,
            CompletionKind::Plain => (plain_size(&fields)?, 0),
        };
        let mut request = Self {
            kind,
            model,
            stream,
            with_usage,
            cost: completion_cost(bytes, messages, max_tokens),
            fields,
        };
        request.fields.remove("max_completion_tokens");
        request.set("max_tokens", Value::from(max_tokens));
        request.set("stream", Value::from(true));
        request.set("stream_options", json!({"include_usage": true}));
        Ok(request)
    }

    /// Returns the body for an engine on which the model is named `instance`.
    ///
    /// # Errors
    ///
    /// `bad_request` if the body contains the caller's key, which upstreams must not receive.
    pub fn body(
        &mut self,
        instance: &str,
        key: &CallerKey,
    ) -> Result<Vec<u8>, Problem> {
        self.set("model", Value::from(instance));
        // Checked after decoding and serializing, so that a JSON-escaped key is found too.
        let body = serde_json::to_vec(&self.fields)
            .map_err(|_serialize| Problem::bad_request("The body can't be serialized as JSON."))?;
        if key.is_in(&body) {
            return Err(Problem::bad_request("The body contains the caller's key."));
        }
        Ok(body)
    }

    /// Returns the first message or the prompt, used to recognize requests with the same prefix.
    pub fn prefix(&self) -> String {
        let value = match self.kind {
            CompletionKind::Chat => self.fields.get("messages").and_then(|all| all.get(0)),
            CompletionKind::Plain => self.fields.get("prompt"),
        };
        value.map(Value::to_string).unwrap_or_default()
    }

    fn set(
        &mut self,
        field: &str,
        value: Value,
    ) {
        match self.fields.get_mut(field) {
            Some(slot) => *slot = value,
            None => drop(self.fields.insert(field.to_owned(), value)),
        }
    }
}

fn model(fields: &Map<String, Value>) -> Result<String, Problem> {
    match fields.get("model").and_then(Value::as_str) {
        Some(name) if (1..=MAX_MODEL_BYTES).contains(&name.len()) => Ok(name.to_owned()),
        _ => Err(Problem::bad_request(
            "model must be a name of 1 to 256 characters.",
        )),
    }
}

fn flag(
    value: Option<&Value>,
    detail: &'static str,
) -> Result<bool, Problem> {
    match value {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(Problem::bad_request(detail)),
    }
}

fn refuse_unsupported(fields: &Map<String, Value>) -> Result<(), Problem> {
    let is_set = |name: &&str| {
        !matches!(
            fields.get(*name),
            None | Some(Value::Null | Value::Bool(false))
        )
    };
    let is_one_or_unset =
        |name: &str| matches!(fields.get(name).map(Value::as_u64), None | Some(Some(1)));
    match () {
        () if UNSUPPORTED_FIELDS.iter().any(is_set) => Err(Problem::bad_request(
            "Tools, logprobs, echo, suffix and modalities are not supported.",
        )),
        () if !is_one_or_unset("n") || !is_one_or_unset("best_of") => {
            Err(Problem::bad_request("n and best_of must be 1."))
        }
        () => Ok(()),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u64, Problem> {
    let requested = ["max_completion_tokens", "max_tokens"]
        .iter()
        .filter_map(|&name| fields.get(name))
        .find(|value| !value.is_null());
    match requested.map(Value::as_u64) {
        None => Ok(DEFAULT_MAX_TOKENS),
        Some(Some(tokens)) if (1..=MAX_TOKENS).contains(&tokens) => Ok(tokens),
        Some(_) => Err(Problem::bad_request(
            "max_tokens must be a number from 1 to 1048576.",
        )),
    }
}

fn plain_size(fields: &Map<String, Value>) -> Result<u64, Problem> {
    match fields.get("prompt").and_then(Value::as_str) {
        Some(prompt) => Ok(prompt.len() as u64),
        None => Err(Problem::bad_request("prompt must be a string.")),
    }
}

/// Returns the bytes of text and the number of messages.
fn chat_size(fields: &Map<String, Value>) -> Result<(u64, u64), Problem> {
    let malformed =
        Problem::bad_request("messages must be a list of objects with role and content.");
    let messages = match fields.get("messages").and_then(Value::as_array) {
        Some(messages) if !messages.is_empty() => messages,
        _ => return Err(malformed),
    };
    let mut bytes = 0;
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let content = message.get("content").and_then(text_size);
        let name = message.get("name").and_then(Value::as_str).unwrap_or("");
        bytes +=
            role.ok_or(malformed)?.len() as u64 + content.ok_or(malformed)? + name.len() as u64;
    }
    Ok((bytes, messages.len() as u64))
}

/// Returns the bytes of a message's content, which is a string or a list of text parts.
fn text_size(content: &Value) -> Option<u64> {
    let part = |part: &Value| match part.get("type").and_then(Value::as_str) {
        Some("text") => part
            .get("text")
            .and_then(Value::as_str)
            .map(|text| text.len() as u64),
        _ => None,
    };
    match content {
        Value::String(text) => Some(text.len() as u64),
        Value::Array(parts) => parts.iter().map(part).sum(),
        _ => None,
    }
}
