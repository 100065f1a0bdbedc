//! Health, readiness and metrics of this controller over HTTP.

mod figures;
mod health;
mod status_api;
mod store_metrics;

pub use {
    figures::{Figure, Figures},
    health::Health,
    status_api::start,
    store_metrics::register,
};
