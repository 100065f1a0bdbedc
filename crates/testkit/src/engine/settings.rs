use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Settings of a fake engine.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the base model.
    pub model: String,
    /// Number of adapter slots.
    pub slots: usize,
    /// Maximum number of requests in a batch.
    pub max_batch: usize,
    /// Duration of a step with one request, in microseconds.
    pub step_us: u64,
    /// Additional step time per further request, in microseconds.
    pub step_per_request_us: u64,
    /// Additional step time per further adapter in the batch, in microseconds.
    pub step_per_adapter_us: u64,
    /// Prompt tokens prefilled per step; a cached prefix takes one step.
    pub prefill_tokens: u32,
    /// Capacity of the prefix cache.
    pub prefix_entries: usize,
    /// Refresh interval of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Delay until a cache event is visible, in milliseconds; every seventh is dropped.
    pub cache_lag_ms: u64,
    /// How long a stream without readers can be resumed, in milliseconds.
    pub resume_ms: u64,
    /// Whether orders with a stale fencing token are refused.
    pub checks_fencing: bool,
    /// Address of the weight store; without one, a load takes 250 ms.
    pub weight_store: Option<SocketAddr>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            model: "base".to_owned(),
            slots: 4,
            max_batch: 16,
            step_us: 20_000,
            step_per_request_us: 300,
            step_per_adapter_us: 1000,
            prefill_tokens: 256,
            prefix_entries: 64,
            load_lag_ms: 250,
            cache_lag_ms: 500,
            resume_ms: 5000,
            checks_fencing: false,
            weight_store: None,
        }
    }
}

/// Faults injected into an engine.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of next loads that fail.
    pub fail_loads: u32,
    /// Additional duration of each load, in milliseconds.
    pub slow_load_ms: u64,
    /// Closes each new stream after this many tokens.
    pub cut_streams_after: Option<u32>,
    /// Number of next answers replaced by those of another request.
    pub crossed_answers: u32,
    /// Restarts the engine with a new boot id and empty state.
    pub restart: bool,
    /// Stops all steps and responses.
    pub hang: bool,
}
