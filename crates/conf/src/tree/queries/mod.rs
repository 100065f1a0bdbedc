//! What is read from a tree: resolved values, and where a value comes from.

mod entities;
mod entity;
mod explain;
mod levels;
mod resolve;

pub use explain::{Explanation, Level};
pub(super) use levels::Levels;
