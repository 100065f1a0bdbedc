use {
    serde_json::Value,
    sha2::{Digest, Sha256},
};

/// Bytes of a prompt that the prefix cache looks at.
const PREFIX: usize = 256;

/// Tokens of the shortest answer, and by how many the longest is longer.
const LENGTHS: (u32, u32) = (16, 48);

/// The tokens that an engine makes with these weights: the same for the same prompt, every time.
pub fn answer(
    weights: &str,
    prompt: &str,
    max_tokens: u32,
) -> Vec<String> {
    let len = length(weights, prompt, max_tokens);
    (0..len).map(|n| token(weights, prompt, n)).collect()
}

/// The text that answers a chat of one message.
pub fn chat_answer(
    weights: &str,
    text: &str,
    max_tokens: u32,
) -> String {
    answer(weights, &format!("user: {text}\n"), max_tokens).concat()
}

/// A message whose answer in a chat has at least 55 tokens, for faults in the middle of a stream.
pub fn long_message(weights: &str) -> String {
    let texts = (0..).map(|n| format!("tell me story {n}"));
    let long = |text: &String| length(weights, &format!("user: {text}\n"), u32::MAX) >= 55;
    texts.into_iter().find(long).unwrap_or_default()
}

/// How many tokens the answer has.
pub(super) fn length(
    weights: &str,
    prompt: &str,
    max_tokens: u32,
) -> u32 {
    let digest = Sha256::digest(format!("length\n{weights}\n{prompt}"));
    let natural = LENGTHS.0 + u32::from(digest[0]) % LENGTHS.1;
    natural.min(max_tokens)
}

/// The token at place `n`, counted from nought.
pub(super) fn token(
    weights: &str,
    prompt: &str,
    n: u32,
) -> String {
    let digest = Sha256::digest(format!("{n}\n{weights}\n{prompt}"));
    format!(" {:02x}{:02x}{:02x}", digest[0], digest[1], digest[2])
}

/// The prompt that a request's body stands for, chat or plain.
pub fn prompt_of(body: &Value) -> String {
    match body["messages"].as_array() {
        Some(messages) => messages.iter().map(line).collect(),
        None => body["prompt"].as_str().unwrap_or_default().to_owned(),
    }
}

fn line(message: &Value) -> String {
    let role = message["role"].as_str().unwrap_or_default();
    let content = message["content"].as_str().unwrap_or_default();
    format!("{role}: {content}\n")
}

/// Tokens of a prompt: one for each four bytes, at least one.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() as u32).div_ceil(4).max(1)
}

/// The name of a prompt's prefix in cache events.
pub fn prefix_of(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX)]);
    let head: [u8; 8] = std::array::from_fn(|place| digest[place]);
    format!("{:016x}", u64::from_be_bytes(head))
}
