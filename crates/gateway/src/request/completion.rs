use {
    super::{CallerKey, DEFAULT_MAX_TOKENS, Problem, completion_cost},
    serde_json::{Map, Value, json},
};

/// Characters of a model's name.
const MAX_MODEL_BYTES: usize = 256;
/// Tokens that a caller may ask for.
const MAX_TOKENS: u64 = 1 << 20;
/// Fields that change the form of an answer in ways that can't be put together from a stream.
const UNSUPPORTED: [&str; 9] = [
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

/// Which of the two calls a request came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/chat/completions`
    Chat,
    /// `/v1/completions`
    Plain,
}

impl CompletionKind {
    /// The path at engines, the same as callers use.
    pub const fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Plain => "/v1/completions",
        }
    }
}

/// A checked completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionRequest {
    /// Which call it is.
    pub kind: CompletionKind,
    /// The model as the caller names it.
    pub model: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Whether the caller wants the count of tokens in the stream.
    pub with_usage: bool,
    /// The most that it can cost.
    pub cost: u64,
    fields: Map<String, Value>,
}

impl CompletionRequest {
    /// Decodes and checks a body.
    ///
    /// # Errors
    ///
    /// `bad_request` with what is wrong.
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

    /// The body for an engine on which the model is called `instance`.
    ///
    /// # Errors
    ///
    /// `bad_request` when the caller's own key stands in it: no upstream may see that.
    pub fn body(
        &mut self,
        instance: &str,
        key: &CallerKey,
    ) -> Result<Vec<u8>, Problem> {
        self.set("model", Value::from(instance));
        // Written anew from decoded values, so that an escaped key is found too.
        let body = serde_json::to_vec(&self.fields)
            .map_err(|_unwritable| Problem::bad_request("The body can't be written as JSON."))?;
        if key.is_in(&body) {
            return Err(Problem::bad_request("The body holds the caller's key."));
        }
        Ok(body)
    }

    /// The start of the prompt, by which requests that share a prefix are told.
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
        () if UNSUPPORTED.iter().any(is_set) => Err(Problem::bad_request(
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

/// Bytes of text and number of messages.
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

/// Bytes of a message's content: a string, or a list of parts that are text.
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
