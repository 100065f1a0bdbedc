use {
    super::{AdmissionRequest, Routed},
    jasmine_core::{
        clock::Millis, error::Refusal, ids::UpstreamId, placement::Instance, rights::Charge,
    },
    tokio::sync::oneshot,
};

/// The stage of a request between arrival and end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a share of its account's rate limit, from peers or in the next epoch.
    AwaitingRights {
        /// Start of the wait.
        since: Millis,
    },
    /// Waits in the queue.
    Queued,
    /// Sent to an upstream.
    Sent {
        /// Upstream to which the request is assigned.
        upstream: UpstreamId,
        /// The adapter instance it uses there, if any.
        instance: Option<Instance>,
    },
    /// Between two attempts, or ended.
    Idle,
}

/// A request from its admission to its end.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The request as submitted for admission.
    pub admission: AdmissionRequest,
    /// What the request is waiting for, or where it runs.
    pub stage: Stage,
    /// Charge to the account's rate limit; `None` once settled.
    pub charge: Option<Charge>,
    /// Upstream where the last attempt failed; not chosen if another one is available.
    pub excluded_upstream: Option<UpstreamId>,
    /// Start of its current wait for a route.
    pub waiting_since: Millis,
    reply: Option<oneshot::Sender<Result<Routed, Refusal>>>,
    withdrawn: Option<oneshot::Sender<()>>,
}

impl ActiveRequest {
    /// Creates an idle, uncharged request that waits since `now`.
    pub const fn new(
        admission: AdmissionRequest,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        withdrawn: oneshot::Sender<()>,
        now: Millis,
    ) -> Self {
        Self {
            admission,
            stage: Stage::Idle,
            charge: None,
            excluded_upstream: None,
            waiting_since: now,
            reply: Some(reply),
            withdrawn: Some(withdrawn),
        }
    }

    /// Starts a new wait for a route, which is sent to `reply`.
    pub fn restart_wait(
        &mut self,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        now: Millis,
    ) {
        self.reply = Some(reply);
        self.waiting_since = now;
    }

    /// Sends the route or the refusal to the worker, if it still waits.
    pub fn send_reply(
        &mut self,
        answer: Result<Routed, Refusal>,
    ) {
        if let Some(reply) = self.reply.take() {
            drop(reply.send(answer));
        }
    }

    /// Notifies the worker that an operator has withdrawn the API key.
    pub fn notify_key_withdrawn(&mut self) {
        if let Some(withdrawn) = self.withdrawn.take() {
            withdrawn.send(()).unwrap_or_default();
        }
    }

    /// Whether the worker still waits for the route.
    pub fn is_reply_awaited(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| !reply.is_closed())
    }
}
