use serde::{Deserialize, Serialize};

/// How a request ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ended {
    /// All its tokens were made.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its caller was gone and didn't come back.
    Abandoned,
    /// Its adapter was unloaded under it.
    Unloaded,
    /// The engine restarted.
    Restarted,
    /// Its KV cache was exported.
    Exported,
}

/// One request as an engine ran it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RanRequest {
    /// The request id it came with.
    pub request_id: String,
    /// The client account it came for.
    pub account: String,
    /// The instance it named.
    pub instance: String,
    /// The weights that ran, empty for the base model.
    pub weights: String,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens made.
    pub tokens: u32,
    /// When it came, milliseconds of Unix time.
    pub start_ms: u64,
    /// When it got into the batch.
    pub began_ms: Option<u64>,
    /// When it ended.
    pub end_ms: Option<u64>,
    /// How it ended.
    pub ended: Option<Ended>,
}

/// All that an engine remembers for tests.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// Every request that it took.
    pub requests: Vec<RanRequest>,
    /// Steps made.
    pub steps: u64,
    /// Tokens made over all steps.
    pub tokens: u64,
    /// Loads that succeeded, by instance.
    pub loads: Vec<String>,
    /// Loads that failed, by instance.
    pub failed_loads: Vec<String>,
    /// Unload orders that it carried out, by instance.
    pub unloads: Vec<String>,
    /// Streams that unload orders cut.
    pub cut_by_unload: u32,
    /// Orders refused for an old fencing token.
    pub stale_orders: u32,
    /// Method, path, headers and body of what it was sent, the newest 4096.
    pub seen: std::collections::VecDeque<String>,
}
