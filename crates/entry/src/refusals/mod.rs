//! Refusals by an entry VM itself, and what they were judged by.

mod judged_by;
mod rule;

pub use {judged_by::JudgedBy, rule::Rule};
