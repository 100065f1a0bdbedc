use crate::ids::{DataCentreId, ModelId, ServiceId, UpstreamId};

/// What an upstream is, as far as routing is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpecKind {
    /// A model engine.
    Engine {
        /// The base model it runs.
        model: ModelId,
        /// Adapters that it holds at a time.
        slots: u32,
        /// Requests that it batches at a time.
        max_batch: u32,
    },
    /// A server of a plain service.
    Server {
        /// The service.
        service: ServiceId,
    },
}

/// An upstream as the configuration describes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamSpec {
    /// Its number.
    pub upstream: UpstreamId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// What it is.
    pub kind: SpecKind,
    /// Whether it finishes what it has and gets nothing new.
    pub leaving: bool,
}
