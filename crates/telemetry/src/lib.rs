//! What a daemon tells about itself: log lines and metrics.
//!
//! A log line is one event as `key=value` pairs. Neither lines nor metrics ever hold a caller's key
//! or a prompt: they are built from names and numbers of the configuration only.

pub mod log;
pub mod metrics;
