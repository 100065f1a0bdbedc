use {
    jasmine_conf::fleet::KeyDigest,
    jasmine_core::{
        clock::Millis,
        error::Refusal,
        forward::RouteCause,
        ids::{AccountId, RequestId, UpstreamId},
        queue::Priority,
        rights::CallerTag,
        routing::Target,
    },
    std::{net::SocketAddr, sync::Arc},
    tokio::sync::oneshot,
};

/// A request to be admitted and routed.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Its id, unique within this process.
    pub request: RequestId,
    /// Digest of the caller's API key.
    pub key: KeyDigest,
    /// The client account that is charged.
    pub account: AccountId,
    /// Upper bound of its cost, in tokens.
    pub cost: u64,
    /// Its priority class.
    pub priority: Priority,
    /// The time after which the caller no longer waits.
    pub deadline: Millis,
    /// The base model, adapter or service that it is for.
    pub target: Target,
    /// Digest of its prompt's prefix, for prefix-cache affinity.
    pub prefix: Option<u64>,
    /// Identifies the caller when it retries after a refusal.
    pub caller: CallerTag,
}

/// The upstream chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The model name to send: an instance or the base model; empty for a plain service.
    pub model: String,
    /// The weights that the engine must name in its response; empty unless an adapter runs.
    pub weights: String,
    /// This gateway's requests in flight at the upstream, including this one.
    pub batch: u32,
    /// Time since the request was queued.
    pub queue_wait: Millis,
    /// The part of the wait during which the adapter was being loaded.
    pub load_wait: Millis,
}

/// Asks for another upstream after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct RerouteRequest {
    /// The request.
    pub request: RequestId,
    /// Why the last attempt failed.
    pub cause: RouteCause,
    /// Whether the engine reported that the instance isn't loaded.
    pub not_loaded: bool,
}

/// The result of a request's last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream responded.
    Answered,
    /// The upstream failed.
    Failed,
    /// Cancelled by the caller or an operator.
    Cancelled,
}

/// Reports that a request has ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// Tokens used; none if unknown, in which case the whole charge counts as used.
    pub used_tokens: Option<u64>,
    /// The result of its last attempt.
    pub outcome: AttemptOutcome,
}

/// Claims an idempotency key for a request.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Digest of the account and the idempotency key.
    pub key: Vec<u8>,
    /// Digest of the request's content.
    pub fingerprint: Vec<u8>,
}

/// The result of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// The key is claimed for this request, which may run.
    Fresh,
    /// Another request holds the key, or its outcome is unknown.
    Running,
    /// A request with this key has completed; holds the recorded answer.
    Done(Vec<u8>),
    /// The key was used before with a different request.
    Mismatch,
    /// No controller could record the claim.
    Unavailable,
}

/// Messages from the HTTP workers to the coordinator.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub enum WorkerMessage {
    /// Admit, queue and route a request.
    Admit {
        /// The request.
        admission: AdmissionRequest,
        /// Receives the route; the worker drops its receiver when the caller disconnects.
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        /// Notified when the key is withdrawn.
        withdrawn: oneshot::Sender<()>,
    },
    /// Route a request again.
    Reroute {
        /// The request.
        reroute: RerouteRequest,
        /// Receives the new route.
        reply: oneshot::Sender<Result<Routed, Refusal>>,
    },
    /// A request has ended.
    Finished(Finished),
    /// Claim an idempotency key.
    Claim {
        /// The key.
        claim: ClaimRequest,
        /// Receives the result.
        reply: oneshot::Sender<ClaimResult>,
    },
    /// Record the answer for a claimed key, or release the claim.
    FinishClaim {
        /// The key.
        claim: ClaimRequest,
        /// The answer; none to release the claim of a request that didn't run.
        answer: Option<Arc<[u8]>>,
        /// Receives whether it was recorded.
        reply: oneshot::Sender<bool>,
    },
}
