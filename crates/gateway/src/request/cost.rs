//! What a completion costs its client account before it has run.
//!
//! A token counts at the moment of admission: that is the moment at which an account's rate and burst
//! are looked at. What is charged then must never be less than what the engine will count, since a
//! charge that turns out too low can't be taken back from tokens that have already been made, and the
//! account would be over its rate and burst.
//!
//! Ways weighed:
//!
//! - The gateway counts with the model's own tokenizer. Exact, but each base model's vocabulary would have to
//!   be kept and updated on every VM.
//! - A ratio of tokens to bytes, learned from past answers. Close on average, but Sinhala or Tamil text
//!   takes several times the tokens of English of the same length, and a caller can choose its text. The
//!   account would exceed its rate by as much as the ratio is off.
//! - An upper bound: byte-level vocabularies make at most one token of each byte, and a chat template adds
//!   a few tokens to each message. Never too low; too high by three quarters on English prompts.
//!
//! The upper bound is taken. What it charges too much comes back when the engine's own count arrives at
//! the end of the answer; until then a prompt of 4 KB holds back about 3,000 tokens more than it uses. An account
//! whose burst is small against its prompts notices that as a `rate_limited` it would not have got otherwise.
//! Operators answer that with a larger burst.

/// Tokens that an answer may have when the caller names no bound.
pub const DEFAULT_MAX_TOKENS: u64 = 256;

/// Tokens that a chat template adds to each message, and that the whole prompt gets once more.
const TEMPLATE_TOKENS: u64 = 8;

/// The most that a prompt of this many bytes and messages and an answer of `max_tokens` can cost.
pub const fn completion_cost(
    prompt_bytes: u64,
    messages: u64,
    max_tokens: u64,
) -> u64 {
    let template = TEMPLATE_TOKENS.saturating_mul(messages.saturating_add(1));
    prompt_bytes
        .saturating_add(template)
        .saturating_add(max_tokens)
}
