use {
    serde_json::Value,
    sha2::{Digest, Sha256},
};

/// Bytes of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 256;

/// Minimum answer length in tokens and the number of possible lengths.
const ANSWER_LEN_RANGE: (u32, u32) = (16, 48);

/// Returns the tokens that an engine generates for these weights and this prompt.
pub fn answer(
    weights: &str,
    prompt: &str,
    max_tokens: u32,
) -> Vec<String> {
    let len = answer_len(weights, prompt, max_tokens);
    (0..len).map(|n| token(weights, prompt, n)).collect()
}

/// Returns the answer to a chat of one user message.
pub fn expected_chat_answer(
    weights: &str,
    text: &str,
    max_tokens: u32,
) -> String {
    answer(weights, &format!("user: {text}\n"), max_tokens).concat()
}

/// Returns a chat message with an answer of at least 55 tokens, for faults in mid-stream.
pub fn message_with_long_answer(weights: &str) -> String {
    let texts = (0..).map(|n| format!("tell me story {n}"));
    let long = |text: &String| answer_len(weights, &format!("user: {text}\n"), u32::MAX) >= 55;
    texts.into_iter().find(long).unwrap_or_default()
}

/// Length of the answer in tokens.
pub(super) fn answer_len(
    weights: &str,
    prompt: &str,
    max_tokens: u32,
) -> u32 {
    let digest = Sha256::digest(format!("length\n{weights}\n{prompt}"));
    let natural = ANSWER_LEN_RANGE.0 + u32::from(digest[0]) % ANSWER_LEN_RANGE.1;
    natural.min(max_tokens)
}

/// The token at index `n`.
pub(super) fn token(
    weights: &str,
    prompt: &str,
    n: u32,
) -> String {
    let digest = Sha256::digest(format!("{n}\n{weights}\n{prompt}"));
    format!(" {:02x}{:02x}{:02x}", digest[0], digest[1], digest[2])
}

/// Extracts the prompt from the body of a chat or completion request.
pub fn prompt_of(body: &Value) -> String {
    match body["messages"].as_array() {
        Some(messages) => messages.iter().map(message_line).collect(),
        None => body["prompt"].as_str().unwrap_or_default().to_owned(),
    }
}

fn message_line(message: &Value) -> String {
    let role = message["role"].as_str().unwrap_or_default();
    let content = message["content"].as_str().unwrap_or_default();
    format!("{role}: {content}\n")
}

/// Prompt length in tokens: one per four bytes, at least one.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() as u32).div_ceil(4).max(1)
}

/// Hash of a prompt's prefix, as reported in cache events.
pub fn prefix_of(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    let head: [u8; 8] = std::array::from_fn(|index| digest[index]);
    format!("{:016x}", u64::from_be_bytes(head))
}
