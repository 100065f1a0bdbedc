use crate::clock::Millis;

/// A base model that engines of a service may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: String,
    /// Memory of an engine that its weights take, in megabytes.
    pub weights_mb: f64,
    /// Memory that one adapter takes, in megabytes.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes.
    pub load: Millis,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs at a time.
    pub slots: u32,
    /// Tokens of running requests that one engine's memory holds.
    pub kv_tokens: u64,
    /// Memory of an engine for weights and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Adapters that one engine holds at most, those on their way included.
    pub adapter_slots: u32,
    /// Loads of base models from the weight store a second, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: String,
    /// Connections that one of its upstreams accepts from all callers together.
    pub max_connections: Option<u32>,
    /// What its engines hold; none for a plain service.
    pub engine: Option<EngineSpec>,
}
