//! Tests of a gateway process with a fake controller and simulated upstreams.

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
