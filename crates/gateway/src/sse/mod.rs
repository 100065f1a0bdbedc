//! Server-sent events of engines: decoding, chunks, and assembly of a buffered response.

mod answer_builder;
mod chunk;
mod decoder;

pub use {
    answer_builder::AnswerBuilder,
    chunk::{Chunk, Usage},
    decoder::{Decoder, Event, SseError},
};
