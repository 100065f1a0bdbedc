//! Refusals by an entry VM itself, and what they were judged by.

mod config_unavailable;
mod judged_by;
mod rule;

pub use {config_unavailable::CONFIG_UNAVAILABLE, judged_by::JudgedBy, rule::Rule};
