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
    /// Id of the request, unique within this process.
    pub request: RequestId,
    /// Digest of the caller's API key.
    pub key: KeyDigest,
    /// The client account that is charged.
    pub account: AccountId,
    /// Upper bound of its cost, in tokens.
    pub cost: u64,
    /// Priority class, which orders requests of the same account.
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
    /// Upstream that serves the request.
    pub upstream: UpstreamId,
    /// Address to connect to.
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
    /// Id from the admission of the request.
    pub request: RequestId,
    /// Why the last attempt failed.
    pub cause: RouteCause,
    /// Whether the engine reported that the instance isn't loaded.
    pub not_loaded: bool,
}

/// The result of a request's last attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream sent a response.
    Answered,
    /// The upstream failed.
    Failed,
    /// Cancelled by the caller or an operator.
    Cancelled,
}

/// Reports that a request has ended.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// Id from the admission of the request.
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

/// Whether an idempotency key was claimed, or why it was not.
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
        /// Request to admit, with its account, cost and target.
        admission: AdmissionRequest,
        /// Receives the route; the worker drops its receiver when the caller disconnects.
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        /// Notified when an operator withdraws (revokes) the API key.
        withdrawn: oneshot::Sender<()>,
    },
    /// Route a request again.
    Reroute {
        /// Request whose attempt failed, and why.
        reroute: RerouteRequest,
        /// Receives the new route.
        reply: oneshot::Sender<Result<Routed, Refusal>>,
    },
    /// A request has ended.
    Finished(Finished),
    /// Claim an idempotency key.
    Claim {
        /// Idempotency key and fingerprint of the request.
        claim: ClaimRequest,
        /// Receives the result.
        reply: oneshot::Sender<ClaimResult>,
    },
    /// Record the answer for a claimed key, or release the claim.
    FinishClaim {
        /// Idempotency key and fingerprint of the request.
        claim: ClaimRequest,
        /// The answer; none to release the claim of a request that didn't run.
        answer: Option<Arc<[u8]>>,
        /// Receives whether it was recorded.
        reply: oneshot::Sender<bool>,
    },
}
