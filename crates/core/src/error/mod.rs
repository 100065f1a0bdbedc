//! The closed list of error kinds and the table from a kind to its answer.

mod answer;
mod error_kind;
mod refusal;

pub use {
    answer::{Answer, Execution, RetryAfter},
    error_kind::ErrorKind,
    refusal::Refusal,
};
