//! Logging and metrics of the daemons.
//!
//! A log line is one event as `key=value` pairs. Log lines and metrics must not contain API keys or
//! prompts; they are built only from names and numbers of the configuration.

pub mod log;
pub mod metrics;
