//! A gateway process between a small controller and the stand-ins.

mod bad_input;
mod broken_streams;
mod caller_keys;
mod config_bound;
mod idempotency_keys;
mod late_listing;
mod once_only;
mod overhead;
mod planned_stop;
mod support;
mod whole_path;
