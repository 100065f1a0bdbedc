//! What changes a tree: carrying out an accepted edit, and checking a wished one.

mod apply;
mod check;
mod propose;

pub use propose::{MAX_EDIT_BYTES, Proposal};
