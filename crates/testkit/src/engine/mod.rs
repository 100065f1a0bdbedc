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
    answer::{answer, chat_answer, long_message, prefix_of, prompt_of},
    api::start,
    record::{Ended, EngineRecord, RanRequest},
    settings::{EngineFaults, EngineSettings},
};
