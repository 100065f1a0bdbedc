//! Log lines: one event, one line, `key=value` pairs.

mod line;
mod output;

pub use {
    line::Line,
    output::{LogError, LogOutput, start},
};
