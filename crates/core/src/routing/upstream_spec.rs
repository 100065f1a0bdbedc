use crate::ids::{DataCentreId, ModelId, ServiceId, UpstreamId};

/// The kind of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamSpecKind {
    /// A model engine.
    Engine {
        /// The base model it runs.
        model: ModelId,
        /// Number of adapter slots.
        slots: u32,
        /// Maximum number of requests in a batch.
        max_batch: u32,
    },
    /// A server of a service without a model.
    Server {
        /// The service.
        service: ServiceId,
    },
}

/// Configuration of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its id.
    pub upstream: UpstreamId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it is an engine or a server.
    pub kind: UpstreamSpecKind,
    /// Whether it is draining: it finishes its requests and gets no new ones.
    pub is_draining: bool,
}
