use {
    super::{
        Admission, BrainMessage, ClaimAnswer, ClaimRequest, Finished, Outcome, RouteAgain, Routed,
    },
    actix::Recipient,
    jasmine_core::{
        error::{ErrorKind, Refusal},
        ids::RequestId,
    },
    std::sync::Arc,
    tokio::sync::oneshot,
};

/// Sends messages of the HTTP workers to the coordinator.
#[derive(Clone, Debug)]
pub struct BrainHandle {
    recipient: Recipient<BrainMessage>,
}

/// Guard of an admitted request; its drop reports the request's end to the coordinator.
///
/// This settles the charge and frees the capacity at the upstream however the request ends,
/// including a disconnect or a panic.
#[derive(Debug)]
pub struct Lease {
    brain: BrainHandle,
    request: RequestId,
    /// Tokens used; none if unknown, in which case the whole charge counts as used.
    pub used: Option<u64>,
    /// The result of the last attempt.
    pub outcome: Outcome,
    withdrawn: oneshot::Receiver<()>,
}

impl BrainHandle {
    /// Creates a handle that sends to `recipient`.
    pub const fn new(recipient: Recipient<BrainMessage>) -> Self {
        Self { recipient }
    }

    /// Submits a request for admission; the receiver yields its route or the refusal.
    pub fn admit(
        &self,
        admission: Admission,
    ) -> (Lease, oneshot::Receiver<Result<Routed, Refusal>>) {
        let (reply, routed) = oneshot::channel();
        let (withdrawn_tx, withdrawn) = oneshot::channel();
        let lease = Lease {
            brain: self.clone(),
            request: admission.request,
            used: Some(0),
            outcome: Outcome::Stopped,
            withdrawn,
        };
        self.recipient.do_send(BrainMessage::Admit {
            admission,
            reply,
            withdrawn: withdrawn_tx,
        });
        (lease, routed)
    }

    /// Claims an idempotency key.
    pub async fn claim(
        &self,
        claim: ClaimRequest,
    ) -> ClaimAnswer {
        let (reply, answer) = oneshot::channel();
        self.recipient.do_send(BrainMessage::Claim { claim, reply });
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records the answer for a claimed key, or releases the claim; returns whether it was stored.
    pub async fn finish_claim(
        &self,
        claim: ClaimRequest,
        answer: Option<Arc<[u8]>>,
    ) -> bool {
        let (reply, stored) = oneshot::channel();
        self.recipient.do_send(BrainMessage::FinishClaim {
            claim,
            answer,
            reply,
        });
        stored.await.unwrap_or(false)
    }
}

impl Lease {
    /// Requests another upstream after a failed attempt.
    pub fn route_again(
        &self,
        reroute: RouteAgain,
    ) -> oneshot::Receiver<Result<Routed, Refusal>> {
        let (reply, routed) = oneshot::channel();
        self.brain
            .recipient
            .do_send(BrainMessage::Reroute { reroute, reply });
        routed
    }

    /// Waits until the key is withdrawn.
    pub async fn withdrawn(&mut self) {
        if (&mut self.withdrawn).await.is_err() {
            // The coordinator has removed the request and sends no notification.
            std::future::pending::<()>().await;
        }
    }

    /// Converts a reply, treating a dropped sender as a shutdown.
    ///
    /// # Errors
    ///
    /// The refusal, or `shutting_down` if the coordinator has stopped.
    pub fn route_of(
        reply: Result<Result<Routed, Refusal>, oneshot::error::RecvError>
    ) -> Result<Routed, Refusal> {
        reply.unwrap_or(Err(Refusal::new(ErrorKind::ShuttingDown)))
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.brain
            .recipient
            .do_send(BrainMessage::Finished(Finished {
                request: self.request,
                used: self.used,
                outcome: self.outcome,
            }));
    }
}
