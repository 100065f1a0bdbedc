//! HTTP endpoints for health, readiness and metrics.

mod gauges;
mod health;
mod status_api;
mod store_metrics;

pub use {
    gauges::{Gauge, Gauges},
    health::Health,
    status_api::start,
    store_metrics::register,
};
