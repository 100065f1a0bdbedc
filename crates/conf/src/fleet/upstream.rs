use {
    jasmine_core::ids::{DataCentreId, ModelId, ServiceId, UpstreamId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What an upstream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// The base model it runs.
        model: ModelId,
        /// Adapters that it holds at a time.
        slots: u32,
        /// Requests that it batches at a time.
        max_batch: u32,
        /// Whether it refuses an order with an old fencing token.
        checks_fencing: bool,
    },
    /// A server of a plain service.
    Server {
        /// The service.
        service: ServiceId,
    },
}

/// Whether an upstream gets new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// It gets work.
    #[default]
    #[display("active")]
    Active,
    /// It finishes what it has and gets nothing new.
    #[display("leaving")]
    Leaving,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its number.
    pub id: UpstreamId,
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// What it is.
    pub kind: UpstreamKind,
    /// Whether it gets new work.
    pub state: UpstreamState,
}
