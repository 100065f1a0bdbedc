//! Tests of a gateway process with a fake controller and simulated upstreams.

mod bad_input;
mod broken_answers;
mod broken_heads;
mod broken_streams;
mod caller_keys;
mod idempotency_keys;
mod once_only;
mod overhead;
mod planned_stop;
mod stale_config;
mod support;
mod unlisted_engine;
mod whole_path;
