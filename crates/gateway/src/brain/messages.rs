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

/// A request that wants to run.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Its number in this process.
    pub request: RequestId,
    /// The key that came with it.
    pub key: KeyDigest,
    /// The client account it runs for.
    pub account: AccountId,
    /// The most that it can cost, in tokens.
    pub cost: u64,
    /// Its priority class.
    pub priority: Priority,
    /// The point in time after which nobody waits for it.
    pub deadline: Millis,
    /// What it needs.
    pub target: Target,
    /// A digest of the start of its prompt.
    pub prefix: Option<u64>,
    /// By what it is known when it comes back after a refusal.
    pub caller: CallerTag,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routed {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// The model's name there: an instance or the base model; empty for a plain service.
    pub model: String,
    /// The weights that have to run: what the engine must name in its answer.
    pub weights: String,
    /// Requests that run there, this one included, as far as is known.
    pub batch: u32,
    /// How long it waited in the queue.
    pub waited: Millis,
    /// How much of that went into a load.
    pub stalled: Millis,
}

/// A request whose last attempt came to nothing.
#[derive(Clone, Copy, Debug)]
pub struct RouteAgain {
    /// The request.
    pub request: RequestId,
    /// Why.
    pub cause: RouteCause,
    /// Whether the engine said that the instance isn't loaded.
    pub not_loaded: bool,
}

/// How a request's last attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream failed.
    Failed,
    /// The caller or an operator ended it.
    Stopped,
}

/// The end of a request.
#[derive(Clone, Copy, Debug)]
pub struct Finished {
    /// The request.
    pub request: RequestId,
    /// Tokens that it used, where the upstream has counted; none: all that was charged.
    pub used: Option<u64>,
    /// How it ended.
    pub outcome: Outcome,
}

/// An idempotency key to be claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Digest of account and key.
    pub key: Vec<u8>,
    /// Digest of the request.
    pub fingerprint: Vec<u8>,
}

/// What came of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// It is this request's: it may run.
    Fresh,
    /// Another run has it, or its outcome is unknown.
    Running,
    /// It ran; this was its answer.
    Done(Vec<u8>),
    /// The key came with another request before.
    Mismatch,
    /// Nobody can record it now.
    Unavailable,
}

/// What workers tell the brain.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub enum BrainMessage {
    /// Admit, queue and route a request.
    Admit {
        /// The request.
        admission: Admission,
        /// Where its route goes; dropped by the worker when the caller has gone.
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        /// Told when the key is withdrawn.
        withdrawn: oneshot::Sender<()>,
    },
    /// Route a request once more.
    RouteAgain {
        /// The request.
        again: RouteAgain,
        /// Where its route goes.
        reply: oneshot::Sender<Result<Routed, Refusal>>,
    },
    /// A request has ended.
    Finished(Finished),
    /// Claim an idempotency key.
    Claim {
        /// The key.
        claim: ClaimRequest,
        /// Where the outcome goes.
        reply: oneshot::Sender<ClaimAnswer>,
    },
    /// Record the answer to a claimed key, or give the claim back with none.
    FinishClaim {
        /// The key.
        claim: ClaimRequest,
        /// The answer; none when the request certainly didn't run.
        answer: Option<Arc<[u8]>>,
        /// Told when it is recorded or can't be.
        reply: oneshot::Sender<bool>,
    },
}
