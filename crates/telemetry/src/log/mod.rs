//! Log lines: one event, one line, `key=value` pairs.

mod bounded_writer;
mod line;
mod output;

pub use {
    bounded_writer::BoundedWriter,
    line::Line,
    output::{LogError, LogOutput, start},
};
