use crate::ids::{DataCentreId, ModelId, ServiceId, UpstreamId};

/// Whether an upstream runs a model or serves another service, with its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamSpecKind {
    /// Runs one base model and loads adapters into its slots.
    Engine {
        /// The base model that its adapters extend.
        model: ModelId,
        /// Number of adapters that it can have loaded at once.
        slots: u32,
        /// Maximum number of requests in a batch.
        max_batch: u32,
    },
    /// A server of a service without a model.
    Server {
        /// The service that it provides.
        service: ServiceId,
    },
}

/// Configuration of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Id that is unique among all upstreams.
    pub upstream: UpstreamId,
    /// The data centre where the upstream stands.
    pub data_centre: DataCentreId,
    /// Whether it is an engine or a server.
    pub kind: UpstreamSpecKind,
    /// Whether it is draining: it finishes its requests and gets no new ones.
    pub is_draining: bool,
}
