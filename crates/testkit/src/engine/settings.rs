use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// How an engine behaves.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// The base model's name.
    pub model: String,
    /// Adapters that it holds at a time.
    pub slots: usize,
    /// Requests that it batches at a time.
    pub max_batch: usize,
    /// Microseconds of a step of one request.
    pub step_us: u64,
    /// Microseconds that each further request adds to a step.
    pub step_per_request_us: u64,
    /// Microseconds that each further adapter in the batch adds to a step.
    pub step_per_adapter_us: u64,
    /// Prompt tokens that a step works through; a cached prefix needs one step.
    pub prefill_tokens: u32,
    /// Prompt prefixes that it remembers.
    pub prefix_entries: usize,
    /// Milliseconds between two looks that the load report takes.
    pub load_lag_ms: u64,
    /// Milliseconds until a cache event shows; every seventh never does.
    pub cache_lag_ms: u64,
    /// Milliseconds that a stream whose caller is gone can still be resumed.
    pub resume_ms: u64,
    /// Whether it refuses an order with an old fencing token.
    pub checks_fencing: bool,
    /// Where weights come from; none: a load takes a quarter of a second.
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

/// What goes wrong at an engine from now on.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// So many of the next loads fail.
    pub fail_loads: u32,
    /// Each load takes this much longer, milliseconds.
    pub slow_load_ms: u64,
    /// Closes the connection of each new stream once it has sent so many tokens.
    pub cut_streams_after: Option<u32>,
    /// So many of the next answers are those of another request.
    pub crossed_answers: u32,
    /// Restarts at once: a new boot id, nothing loaded, nothing running.
    pub restart: bool,
    /// Makes no step and answers nothing.
    pub hang: bool,
}
