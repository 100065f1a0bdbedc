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

/// What a request brings along besides what is sent.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// The worker's connections.
    pub connections: Rc<Connections>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The request's number.
    pub request: RequestId,
    /// Its name.
    pub name: RequestName,
    /// The process's part of the ids of attempts.
    pub id_prefix: String,
    /// The key that came with it.
    pub key: CallerKey,
    /// The client account's name.
    pub account: String,
    /// The priority class.
    pub priority: &'static str,
    /// The model as the caller named it, or the service.
    pub requested_name: String,
    /// When it arrived.
    pub arrived: Instant,
    /// Tells when the daemon stops.
    pub readiness: Arc<Readiness>,
    /// Where figures go.
    pub metrics: RequestMetrics,
    /// Where refusals are counted.
    pub refusals: Refusals,
    /// Account and class of the figures.
    pub labels: Labels,
}
