use {
    super::{Admission, Routed},
    jasmine_core::{
        clock::Millis, error::Refusal, ids::UpstreamId, placement::Instance, rights::Charge,
    },
    tokio::sync::oneshot,
};

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits for rights that peers may give.
    Asking {
        /// Since when.
        since: Millis,
    },
    /// Waits in the queue.
    Queued,
    /// At an upstream.
    Sent {
        /// Which.
        upstream: UpstreamId,
        /// The instance that it named there.
        instance: Option<Instance>,
    },
    /// Between two attempts, or over.
    Idle,
}

/// A request that the brain knows of.
#[derive(Debug)]
pub struct Running {
    /// What it asked for.
    pub admission: Admission,
    /// Where it stands.
    pub stage: Stage,
    /// What it has been charged and not settled.
    pub charge: Option<Charge>,
    /// The upstream at which its last attempt failed.
    pub avoid: Option<UpstreamId>,
    /// When it began to wait.
    pub waiting_since: Millis,
    reply: Option<oneshot::Sender<Result<Routed, Refusal>>>,
    withdrawn: Option<oneshot::Sender<()>>,
}

impl Running {
    /// A request that has just come.
    pub const fn new(
        admission: Admission,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        withdrawn: oneshot::Sender<()>,
        now: Millis,
    ) -> Self {
        Self {
            admission,
            stage: Stage::Idle,
            charge: None,
            avoid: None,
            waiting_since: now,
            reply: Some(reply),
            withdrawn: Some(withdrawn),
        }
    }

    /// Waits once more, for another route.
    pub fn wait_again(
        &mut self,
        reply: oneshot::Sender<Result<Routed, Refusal>>,
        now: Millis,
    ) {
        self.reply = Some(reply);
        self.waiting_since = now;
    }

    /// Tells the worker; one that has gone says so by its own message.
    pub fn answer(
        &mut self,
        answer: Result<Routed, Refusal>,
    ) {
        if let Some(reply) = self.reply.take() {
            drop(reply.send(answer));
        }
    }

    /// Tells the worker that the key is withdrawn.
    pub fn withdraw(&mut self) {
        if let Some(withdrawn) = self.withdrawn.take() {
            withdrawn.send(()).unwrap_or_default();
        }
    }

    /// Whether the worker still waits for its route.
    pub fn is_awaited(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| !reply.is_closed())
    }
}
