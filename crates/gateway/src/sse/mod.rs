//! An engine's stream of events: decoding, checking, and putting together a whole answer.

mod assembly;
mod chunk;
mod decoder;

pub use {
    assembly::Assembly,
    chunk::{Chunk, Usage},
    decoder::{Decoder, Event, SseError},
};
