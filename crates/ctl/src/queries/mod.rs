//! Read-only commands.

mod edits;
mod fleet;
mod nodes;

pub use {
    edits::{edit, history, wait_until_in_force},
    fleet::fleet,
    nodes::{explain, list, show},
};
