//! OpenTelemetry metrics, exported in the Prometheus text format.

mod page;
mod refusals;
mod requests;

pub use {
    page::{Metrics, MetricsError},
    refusals::Refusals,
    requests::{Labels, RequestMetrics},
};
