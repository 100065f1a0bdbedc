use {
    super::{
        AdmissionRequest, AttemptOutcome, ClaimRequest, ClaimResult, Finished, RerouteRequest,
        Routed, WorkerMessage,
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
pub struct CoordinatorHandle {
    recipient: Recipient<WorkerMessage>,
}

/// Guard of an admitted request; its drop reports the request's end to the coordinator.
///
/// This settles the charge and frees the capacity at the upstream however the request ends,
/// including a disconnect or a panic.
#[derive(Debug)]
pub struct RequestGuard {
    coordinator: CoordinatorHandle,
    request: RequestId,
    /// Tokens used; none if unknown, in which case the whole charge counts as used.
    pub used_tokens: Option<u64>,
    /// The result of the last attempt.
    pub outcome: AttemptOutcome,
    withdrawn: oneshot::Receiver<()>,
}

impl CoordinatorHandle {
    /// Creates a handle that sends to `recipient`.
    pub const fn new(recipient: Recipient<WorkerMessage>) -> Self {
        Self { recipient }
    }

    /// Submits a request for admission; the receiver yields its route or the refusal.
    pub fn admit(
        &self,
        admission: AdmissionRequest,
    ) -> (RequestGuard, oneshot::Receiver<Result<Routed, Refusal>>) {
        let (reply, routed) = oneshot::channel();
        let (withdrawn_tx, withdrawn) = oneshot::channel();
        let lease = RequestGuard {
            coordinator: self.clone(),
            request: admission.request,
            used_tokens: Some(0),
            outcome: AttemptOutcome::Cancelled,
            withdrawn,
        };
        self.recipient.do_send(WorkerMessage::Admit {
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
    ) -> ClaimResult {
        let (reply, answer) = oneshot::channel();
        self.recipient
            .do_send(WorkerMessage::Claim { claim, reply });
        answer.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Records the answer for a claimed key, or releases the claim; returns whether it was stored.
    pub async fn finish_claim(
        &self,
        claim: ClaimRequest,
        answer: Option<Arc<[u8]>>,
    ) -> bool {
        let (reply, stored) = oneshot::channel();
        self.recipient.do_send(WorkerMessage::FinishClaim {
            claim,
            answer,
            reply,
        });
        stored.await.unwrap_or(false)
    }
}

impl RequestGuard {
    /// Requests another upstream after a failed attempt.
    pub fn reroute(
        &self,
        reroute: RerouteRequest,
    ) -> oneshot::Receiver<Result<Routed, Refusal>> {
        let (reply, routed) = oneshot::channel();
        self.coordinator
            .recipient
            .do_send(WorkerMessage::Reroute { reroute, reply });
        routed
    }

    /// Waits until an operator withdraws (revokes) the API key of the request.
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
    pub fn reply_or_shutdown(
        reply: Result<Result<Routed, Refusal>, oneshot::error::RecvError>
    ) -> Result<Routed, Refusal> {
        reply.unwrap_or(Err(Refusal::new(ErrorKind::ShuttingDown)))
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.coordinator
            .recipient
            .do_send(WorkerMessage::Finished(Finished {
                request: self.request,
                used_tokens: self.used_tokens,
                outcome: self.outcome,
            }));
    }
}
