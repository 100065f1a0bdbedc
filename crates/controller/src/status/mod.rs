//! Health, readiness and metrics of this controller over HTTP.

mod health;
mod status_api;
mod store_metrics;

pub use {health::Health, status_api::start, store_metrics::register};
