//! Upper bound of the cost of a completion, charged at admission.
//!
//! Byte-level vocabularies produce at most one token per byte, and chat templates add a few tokens per
//! message. The bound never undercharges; the excess is refunded when the engine reports its token
//! usage. Requests near an account's burst can therefore be refused with `rate_limited` although their
//! actual cost is lower.

/// Maximum number of generated tokens if the caller sets none.
pub const DEFAULT_MAX_TOKENS: u64 = 256;

/// Tokens that a chat template adds per message, and once more for the whole prompt.
const TEMPLATE_TOKENS_PER_MESSAGE: u64 = 8;

/// Returns the maximum cost in tokens of a prompt and a completion of `max_tokens`.
pub const fn completion_cost(
    prompt_bytes: u64,
    messages: u64,
    max_tokens: u64,
) -> u64 {
    let template = TEMPLATE_TOKENS_PER_MESSAGE.saturating_mul(messages.saturating_add(1));
    prompt_bytes
        .saturating_add(template)
        .saturating_add(max_tokens)
}
