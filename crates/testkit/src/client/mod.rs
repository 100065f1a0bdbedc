//! An HTTP client for tests that records SSE streams with their timing.

mod answer;
mod call;
mod event_reader;

pub use {
    answer::{Answer, CallError, EndOfStream},
    call::{Call, get_json, post_json},
};
