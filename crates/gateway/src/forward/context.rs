use {
    crate::{
        clock::Clock,
        request::{CallerKey, RequestName},
        status::Readiness,
        upstream::Connections,
    },
    jasmine_core::ids::RequestId,
    jasmine_telemetry::metrics::{Labels, Refusals, RequestMetrics},
    std::{rc::Rc, sync::Arc},
    tokio::time::Instant,
};

/// Everything that forwarding a request needs besides the outbound request itself.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// Upstream connections of the worker thread.
    pub connections: Rc<Connections>,
    /// The process-wide clock.
    pub clock: Clock,
    /// Number of the request, unique within the process.
    pub request: RequestId,
    /// Request id as callers and logs see it.
    pub name: RequestName,
    /// Prefix that makes upstream request ids unique across processes.
    pub id_prefix: String,
    /// API key of the caller.
    pub key: CallerKey,
    /// Name of the client account.
    pub account: String,
    /// Name of the priority class.
    pub priority: &'static str,
    /// Name of the requested model or service, as the caller sent it.
    pub requested_name: String,
    /// When the request arrived.
    pub arrived: Instant,
    /// Readiness of the daemon, which signals when requests must be aborted.
    pub readiness: Arc<Readiness>,
    /// Metrics of requests.
    pub metrics: RequestMetrics,
    /// Counters of refused requests.
    pub refusals: Refusals,
    /// Metric labels: account and priority class.
    pub labels: Labels,
}
