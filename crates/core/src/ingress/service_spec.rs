use crate::clock::Millis;

/// A base model that engines of a service can run.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Name of the base model, which the scheduler's id stands for.
    pub name: String,
    /// Engine memory used by its weights, in megabytes.
    pub weights_mb: f64,
    /// Engine memory used by one adapter, in megabytes.
    pub adapter_mb: f64,
    /// Time to load it from the weight store.
    pub load: Millis,
}

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that fit in one engine's KV cache.
    pub kv_tokens: u64,
    /// Engine memory for model weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters per engine, including those being loaded.
    pub adapter_slots: u32,
    /// Maximum rate of base model loads from the weight store over all engines, per second.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

/// How a service's upstreams start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests per second that a cold upstream serves; it may crash well above that.
    pub per_second: f64,
    /// How long an upstream is cold after its start.
    pub duration: Millis,
}

/// A service that requests are routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service, also its key in the configuration's map of services.
    pub name: String,
    /// Path of the health check of its upstreams, if there is one.
    pub health_path: Option<String>,
    /// Maximum number of connections that one of its upstreams accepts in total.
    pub max_connections: Option<u32>,
    /// The request rate of its cold upstreams; `None` if these take as many as warm ones.
    pub cold_start: Option<ColdStart>,
    /// Capacity of its engines; `None` for a service without engines.
    pub engine: Option<EngineSpec>,
}
