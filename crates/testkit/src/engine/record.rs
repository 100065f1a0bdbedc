use serde::{Deserialize, Serialize};

/// How a request ended at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// All its tokens were generated.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Its caller disconnected and didn't resume it.
    Abandoned,
    /// Its adapter was unloaded while it ran.
    Unloaded,
    /// The engine restarted.
    Restarted,
    /// Its KV cache was exported.
    Exported,
}

/// Record of one request on an engine.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RequestRecord {
    /// Request id from the `x-request-id` header.
    pub request_id: String,
    /// Client account from the `x-client-account` header.
    pub account: String,
    /// Requested instance.
    pub instance: String,
    /// Adapter weights used, empty for the base model.
    pub weights: String,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub tokens: u32,
    /// Arrival time, in milliseconds of Unix time.
    pub start_ms: u64,
    /// When it entered the batch, in milliseconds of Unix time.
    pub began_ms: Option<u64>,
    /// When it ended, in milliseconds of Unix time.
    pub end_ms: Option<u64>,
    /// Why it ended, none while it is open.
    pub ended: Option<EndReason>,
}

/// Everything that an engine records for tests.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct EngineRecord {
    /// All accepted requests.
    pub requests: Vec<RequestRecord>,
    /// Number of steps run.
    pub steps: u64,
    /// Tokens generated over all steps.
    pub tokens: u64,
    /// Instances whose load succeeded.
    pub loads: Vec<String>,
    /// Instances whose load failed.
    pub failed_loads: Vec<String>,
    /// Unloaded instances.
    pub unloads: Vec<String>,
    /// Number of streams ended by unloads.
    pub cut_by_unload: u32,
    /// Orders refused because of a stale fencing token.
    pub stale_orders: u32,
    /// Method, path, headers and body of the last 4096 requests.
    pub seen: std::collections::VecDeque<String>,
}
