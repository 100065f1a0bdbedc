//! A fake model engine with continuous batching, adapter slots and deterministic answers.

mod answer;
mod api;
mod batch;
mod generate;
mod orders;
mod record;
mod settings;
mod state;
mod stream_body;

pub use {
    answer::{answer, expected_chat_answer, message_with_long_answer, prefix_of, prompt_of},
    api::start,
    record::{EndReason, EngineRecord, RequestRecord},
    settings::{EngineFaults, EngineSettings},
};
