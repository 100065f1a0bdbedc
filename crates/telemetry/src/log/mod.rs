//! Structured logging: one line of `key=value` pairs per event.

mod bounded_writer;
mod line;
mod output;

pub use {
    bounded_writer::BoundedWriter,
    line::Line,
    output::{LogError, LogOutput, start},
};
