//! Decoding and validation of what callers send.

mod caller_key;
mod completion;
mod cost;
mod idempotency_key;
mod problem;
mod request_name;
mod service_path;

pub use {
    caller_key::CallerKey,
    completion::{CompletionKind, CompletionRequest},
    cost::{DEFAULT_MAX_TOKENS, completion_cost},
    idempotency_key::IdempotencyKey,
    problem::Problem,
    request_name::RequestName,
    service_path::ServicePath,
};
