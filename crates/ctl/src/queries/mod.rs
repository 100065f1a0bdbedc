//! Commands that only read.

mod edits;
mod fleet;
mod nodes;

pub use {
    edits::{edit, history, wait_everywhere},
    fleet::fleet,
    nodes::{explain, list, show},
};
