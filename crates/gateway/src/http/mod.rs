//! HTTP endpoints for callers, load balancers and Prometheus.

mod admit;
mod answers;
mod app;
mod body;
mod claims;
mod completions;
mod models;
mod plan;
mod services;
mod shared;
mod status;

pub use {
    app::{caller_routes, status_routes},
    claims::StoredAnswer,
    shared::{Shared, Worker},
};
