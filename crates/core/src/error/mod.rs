//! Error kinds and their HTTP responses.

mod answer;
mod error_kind;
mod refusal;

pub use {
    answer::{Answer, Execution, RetryAfter},
    error_kind::ErrorKind,
    refusal::Refusal,
};
