//! Changes of a tree: applying accepted edits and validating proposed ones.

mod apply;
mod check;
mod propose;

pub use propose::{MAX_EDIT_BYTES, Proposal};
