//! Queries on a tree: resolved values and their origins.

mod entities;
mod entity;
mod explain;
mod inherited_values;
mod resolve;

pub use explain::{Explanation, Level};
pub(super) use inherited_values::InheritedValues;
