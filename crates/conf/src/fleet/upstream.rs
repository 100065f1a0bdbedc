use {
    jasmine_core::ids::{DataCentreId, ModelId, ServiceId, UpstreamId},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The kind of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamKind {
    /// A model engine.
    Engine {
        /// The base model that the engine runs.
        model: ModelId,
        /// The number of adapter slots.
        slots: u32,
        /// The maximum batch size, in requests.
        max_batch: u32,
        /// Whether the engine rejects orders with an outdated fencing token.
        checks_fencing: bool,
    },
    /// A server of a plain service.
    Server {
        /// The service that the server belongs to.
        service: ServiceId,
    },
}

/// Whether an upstream receives new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Receives new requests.
    #[default]
    #[display("active")]
    Active,
    /// Finishes its current requests and receives no new ones.
    #[display("leaving")]
    Leaving,
}

/// A backend server that handles requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The id assigned at creation.
    pub id: UpstreamId,
    /// The name, unique over the fleet.
    pub name: String,
    /// The address and port that it listens on.
    pub address: SocketAddr,
    /// The data centre of the upstream.
    pub data_centre: DataCentreId,
    /// Whether it is an engine or a server.
    pub kind: UpstreamKind,
    /// Whether it receives new requests.
    pub state: UpstreamState,
}
