use {
    super::{
        ELSEWHERE, ForwardRequest,
        attempt::{Answering, AttemptContext, Failure, Start},
        relay::{Progress, RelayEnd, relay},
    },
    crate::{
        caller::{AnswerWriter, OwnAnswer},
        context::{Context, StopStage},
        http1::AnswerHead,
        scheduling::{Placement, PlacementError},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::Attempts,
        scheduler::{Outcome, WaitReason},
    },
    jasmine_telemetry::log::Line,
    std::{io, rc::Rc},
    tokio::time::{sleep, timeout},
};

/// Delay before the retry of a request that an upstream didn't run because its adapter isn't loaded yet.
const NOT_RUN_PAUSE: Millis = Millis(15);

/// What follows an attempt.
enum Step {
    /// The caller has its answer or has disconnected.
    Done(io::Result<()>),
    /// The request is sent again.
    Again,
    /// The request fails with this error.
    GiveUp(ErrorKind),
}

/// Drives one request from its arrival to its final answer, over several attempts.
pub(super) struct Driver<'a> {
    cx: &'a Rc<Context>,
    req: ForwardRequest,
    attempts: Attempts,
    avoid: Vec<String>,
    progress: Progress,
    /// The last error answer of an upstream, forwarded if no attempt succeeds.
    failed: Option<(AnswerHead, Bytes)>,
    /// Total time spent waiting for placement.
    waited: Millis,
    /// The main reason for the last attempt's wait.
    waited_for: WaitReason,
    /// When the last attempt was sent.
    sent_at: Option<Millis>,
    /// The upstream of the last attempt.
    upstream: Option<String>,
    /// Whether the end of the request was logged.
    is_logged: bool,
}

impl<'a> Driver<'a> {
    pub(super) fn new(
        cx: &'a Rc<Context>,
        req: ForwardRequest,
    ) -> Self {
        let attempts = Attempts::new(req.route.kind.repeat(), req.route.attempts);
        Self {
            cx,
            attempts,
            avoid: Vec::new(),
            progress: Progress {
                last_event: req.caller.last_event,
                ..Progress::default()
            },
            failed: None,
            waited: Millis::ZERO,
            waited_for: WaitReason::Turn,
            sent_at: None,
            upstream: None,
            is_logged: false,
            req,
        }
    }

    pub(super) async fn run(
        mut self,
        out: &mut AnswerWriter<'_>,
    ) -> io::Result<()> {
        loop {
            let asked = self.cx.clock.now();
            let placed = self.place().await;
            self.waited += self.cx.clock.now().since(asked);
            let placement = match placed {
                Ok(placement) => placement,
                Err(placement_error) => {
                    self.waited_for = placement_error.waited_for;
                    return self.give_up(placement_error.refusal, out).await;
                }
            };
            self.waited_for = placement.waited_for;
            self.sent_at = Some(self.cx.clock.now());
            self.upstream = Some(placement.upstream.clone());
            Line::new("request_sent")
                .with("id", self.id())
                .with("upstream", &placement.upstream)
                .with("attempt", self.attempts.next_attempt())
                .with("version", placement.version.unwrap_or_default())
                .with("waited_ms", self.waited)
                .with("waited_for", self.waited_for.as_str())
                .with("decided_by", self.cx.scheduling.decider())
                .info();
            match self.attempt(&placement, out).await {
                Step::Done(result) => {
                    let word = if result.is_ok() {
                        "answered"
                    } else {
                        "caller_gone"
                    };
                    self.log_end(word);
                    return result;
                }
                Step::Again => {}
                Step::GiveUp(kind) => return self.give_up(Refusal::new(kind), out).await,
            }
        }
    }

    /// Waits for placement until the deadline, or until a planned stop refuses waiting requests.
    async fn place(&self) -> Result<Placement, PlacementError> {
        let now = self.cx.clock.now();
        let number = self.attempts.next_attempt();
        let data_centre = &self.cx.settings.data_centre;
        let job = self.req.job(number, &self.avoid, data_centre, now);
        let left = self.req.deadline.since(now);
        let placed = timeout(left.to_std(), self.cx.scheduling.place(job));
        tokio::select! {
            placed = placed => {
                placed.unwrap_or_else(|_elapsed| {
                    Err(Refusal::new(ErrorKind::CannotMeetDeadline).into())
                })
            }
            () = self.cx.stop_reached(StopStage::Emptying) => {
                Err(Refusal::after(ErrorKind::ShuttingDown, ELSEWHERE).into())
            }
        }
    }

    async fn attempt(
        &mut self,
        placement: &Placement,
        out: &mut AnswerWriter<'_>,
    ) -> Step {
        let began = self.cx.clock.now();
        let attempt = AttemptContext {
            cx: self.cx,
            req: &self.req,
            placement,
        };
        let after_event = self
            .progress
            .last_event
            .filter(|_| self.progress.events > 0);
        let answering = match attempt.start(after_event).await {
            Start::Answering(answering) => answering,
            Start::Ended(failure) => return self.failed(placement, failure).await,
        };
        let is_stream = self.req.is_stream() && answering.head.status == 200;
        let result = if is_stream {
            self.relay(placement, answering, out).await
        } else {
            self.whole(placement, answering, out).await
        };
        match result {
            Ok(()) => {
                let took = self.cx.clock.now().since(began);
                self.cx.metrics.attempt(Outcome::Answered { took });
                let first = self.progress.first_at.map(|at| at.since(self.req.arrived));
                self.cx.metrics.answered(&self.req, self.waited, first);
                placement.end(Outcome::Answered { took });
                Step::Done(Ok(()))
            }
            Err(RelayEnd::Caller(e)) => Step::Done(Err(e)),
            Err(RelayEnd::Upstream(failure)) => self.failed(placement, failure).await,
        }
    }

    async fn relay(
        &mut self,
        placement: &Placement,
        answering: Answering,
        out: &mut AnswerWriter<'_>,
    ) -> Result<(), RelayEnd> {
        let attempt = AttemptContext {
            cx: self.cx,
            req: &self.req,
            placement,
        };
        relay(&attempt, answering, &mut self.progress, out).await
    }

    async fn whole(
        &self,
        placement: &Placement,
        answering: Answering,
        out: &mut AnswerWriter<'_>,
    ) -> Result<(), RelayEnd> {
        let attempt = AttemptContext {
            cx: self.cx,
            req: &self.req,
            placement,
        };
        let (head, body) = attempt.whole(answering).await?;
        Ok(out.whole(&head, &body).await?)
    }

    /// Decides between a retry and a final error after a failed attempt.
    async fn failed(
        &mut self,
        placement: &Placement,
        failure: Failure,
    ) -> Step {
        placement.end(failure.outcome);
        self.cx.metrics.attempt(failure.outcome);
        let may_go_on = self.attempts.record_end(failure.end);
        Line::new("attempt_failed")
            .with("id", self.id())
            .with("upstream", &placement.upstream)
            .with("outcome", format!("{:?}", failure.outcome))
            .with("again", may_go_on)
            .info();
        self.failed = failure.answer.or(self.failed.take());
        let is_over = self.cx.clock.now() >= self.req.deadline;
        let has_begun = self.progress.first_at.is_some();
        match failure.outcome {
            _ if is_over && self.attempts.may_have_run() => {
                Step::GiveUp(ErrorKind::DeadlineExceeded)
            }
            _ if is_over => Step::GiveUp(ErrorKind::CannotMeetDeadline),
            _ if has_begun && !self.req.is_resumable() => Step::GiveUp(ErrorKind::AnswerCut),
            _ if !may_go_on && self.attempts.may_have_run() => {
                Step::GiveUp(ErrorKind::UpstreamLost)
            }
            _ if !may_go_on => Step::GiveUp(ErrorKind::NoUpstream),
            Outcome::NotLoaded => {
                sleep(NOT_RUN_PAUSE.to_std()).await;
                Step::Again
            }
            _ => {
                self.avoid.push(placement.upstream.clone());
                Step::Again
            }
        }
    }

    /// Sends the final answer of a request that failed.
    async fn give_up(
        &mut self,
        refusal: Refusal,
        out: &mut AnswerWriter<'_>,
    ) -> io::Result<()> {
        let refusal = self.true_refusal(refusal);
        self.cx
            .metrics
            .refused(refusal, self.req.account.as_deref());
        self.is_logged = true;
        Line::new("request_given_up")
            .with("id", self.id())
            .with("route", &self.req.route.name)
            .with("account", self.req.account.as_deref().unwrap_or("-"))
            .with("cost", self.req.cost)
            .with("kind", refusal.kind)
            .with("retry_after_ms", refusal.retry_after.map_or(0, |ms| ms.0))
            .with("decided_by", self.cx.scheduling.decider())
            .with("attempts", self.attempts.next_attempt() - 1)
            .with("config", self.req.config_version)
            .with("waited_ms", self.waited)
            .with("waited_for", self.waited_for.as_str())
            .with("took_ms", self.cx.clock.now().since(self.req.arrived))
            .with("events", self.progress.events)
            .info();
        if out.has_begun() {
            // Closing without the last chunk tells the caller that the stream is incomplete.
            out.close_after();
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if let Some((head, body)) = self.failed.take() {
            return out.whole(&head, &body).await;
        }
        let id = self.req.caller.request_id.as_deref();
        out.refuse(OwnAnswer(refusal), id).await
    }

    /// Replaces a refusal that claims that the request didn't run if an attempt may have run.
    fn true_refusal(
        &self,
        refusal: Refusal,
    ) -> Refusal {
        use jasmine_core::error::Execution;
        let claims_not_run = refusal.kind.answer().execution == Execution::NotRun;
        if claims_not_run && self.attempts.may_have_run() {
            Refusal::new(ErrorKind::UpstreamLost)
        } else {
            refusal
        }
    }

    fn id(&self) -> &str {
        self.req.caller.request_id.as_deref().unwrap_or("-")
    }

    /// Logs the end of a request.
    fn log_end(
        &mut self,
        result: &str,
    ) {
        self.is_logged = true;
        let arrived = self.req.arrived;
        let first = self.progress.first_at.map(|at| at.since(arrived));
        Line::new("request_ended")
            .with("id", self.id())
            .with("route", &self.req.route.name)
            .with("account", self.req.account.as_deref().unwrap_or("-"))
            .with("cost", self.req.cost)
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("upstream", self.upstream.as_deref().unwrap_or("-"))
            .with("attempts", self.attempts.next_attempt())
            .with("config", self.req.config_version)
            .with("waited_ms", self.waited)
            .with("waited_for", self.waited_for.as_str())
            .with(
                "sent_ms",
                self.sent_at.map_or(Millis::ZERO, |at| at.since(arrived)),
            )
            .with("first_ms", first.unwrap_or_default())
            .with("took_ms", self.cx.clock.now().since(arrived))
            .with("events", self.progress.events)
            .with("result", result)
            .info();
    }
}

impl Drop for Driver<'_> {
    /// Logs requests that are cancelled because the caller has disconnected.
    fn drop(&mut self) {
        if !self.is_logged {
            self.log_end("caller_gone");
        }
    }
}
