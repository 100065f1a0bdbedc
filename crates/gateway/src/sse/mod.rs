//! An engine's stream of events: decoding, checking, and putting together a whole answer.

mod answer_builder;
mod chunk;
mod decoder;

pub use {
    answer_builder::AnswerBuilder,
    chunk::{Chunk, Usage},
    decoder::{Decoder, Event, SseError},
};
