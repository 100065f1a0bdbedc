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

/// A worker's way to the brain.
#[derive(Clone, Debug)]
pub struct BrainHandle {
    recipient: Recipient<BrainMessage>,
}

/// A request that the brain knows of; it is settled when this is dropped.
///
/// Whatever ends a request, a caller gone and a defect included, its charge and its place at the
/// upstream have to be given back, or the account's rate would shrink with each.
#[derive(Debug)]
pub struct Lease {
    brain: BrainHandle,
    request: RequestId,
    /// Tokens used, once known.
    pub used: Option<u64>,
    /// How the last attempt ended.
    pub outcome: Outcome,
    withdrawn: oneshot::Receiver<()>,
}

impl BrainHandle {
    /// A way to the brain behind `recipient`.
    pub const fn new(recipient: Recipient<BrainMessage>) -> Self {
        Self { recipient }
    }

    /// Announces a request; its route comes through the receiver.
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

    /// Records the answer to a claimed key, or gives the claim back.
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
    /// Asks for another upstream.
    pub fn route_again(
        &self,
        again: RouteAgain,
    ) -> oneshot::Receiver<Result<Routed, Refusal>> {
        let (reply, routed) = oneshot::channel();
        self.brain
            .recipient
            .do_send(BrainMessage::RouteAgain { again, reply });
        routed
    }

    /// Waits until the key is withdrawn.
    pub async fn withdrawn(&mut self) {
        if (&mut self.withdrawn).await.is_err() {
            // The brain has forgotten the request: it will not say so any more.
            std::future::pending::<()>().await;
        }
    }

    /// What a worker makes of a reply that never came.
    ///
    /// # Errors
    ///
    /// The refusal, or `shutting_down` where the brain is no longer there.
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
