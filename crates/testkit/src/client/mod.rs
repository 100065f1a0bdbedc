//! A small HTTP client for tests and drivers: whole answers and SSE streams with their times.

mod answer;
mod call;
mod event_reader;

pub use {
    answer::{Answer, CallError, EndOfStream},
    call::{Call, get_json, post_json},
};
