//! Metrics by OpenTelemetry, read as a Prometheus page.

mod page;
mod refusals;
mod requests;

pub use {
    page::{Metrics, MetricsError},
    refusals::Refusals,
    requests::{Labels, RequestMetrics},
};
