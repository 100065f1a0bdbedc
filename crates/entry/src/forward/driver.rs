use {
    super::{
        ForwardRequest,
        attempt::{AttemptContext, Failure, Start},
        relay::{Progress, RelayError, relay},
        request::AttemptSpec,
        successor::{Successor, place},
    },
    crate::{
        caller::{ErrorResponse, ResponseWriter},
        context::Context,
        http1::{Framing, ResponseHead},
        scheduling::{Placement, PlacementError},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::Attempts,
        ids::PartId,
        ingress::PromptPart,
        quarantine::{AnswerEnd, AnswerTrace, PromptEvidence, join_parts},
        scheduler::{Outcome, WaitReason},
        streams::OriginLookup,
    },
    jasmine_telemetry::log::Line,
    std::{cell::RefCell, io, net::SocketAddr, rc::Rc},
    tokio::time::sleep,
};

/// Delay before the retry of a request that an upstream didn't run because its adapter isn't loaded yet.
const NOT_RUN_RETRY_DELAY: Millis = Millis(15);

/// `Retry-After` while neither this VM nor another one reaches an upstream.
const ISOLATED_RETRY_DELAY: Millis = Millis(1_000);

/// How often an answer that has begun checks whether an upstream is reached again.
const REACHABILITY_CHECK_INTERVAL: Millis = Millis(100);

/// What follows an attempt.
enum Step {
    /// The caller has its response or has disconnected.
    Done(io::Result<()>),
    /// The request is sent again, to this upstream if one has been found already.
    Retry(Option<Placement>),
    /// The request fails with this error.
    Fail(ErrorKind),
}

/// Drives one request from its arrival to its final response, over several attempts.
pub(super) struct Driver<'a> {
    cx: &'a Rc<Context>,
    req: Rc<ForwardRequest>,
    attempts: Attempts,
    excluded_upstreams: Vec<String>,
    /// VMs to which the request has been offered.
    tried_relays: RefCell<Vec<SocketAddr>>,
    progress: Progress,
    /// The last error response of an upstream, forwarded if no attempt succeeds.
    upstream_error: Option<(ResponseHead, Bytes)>,
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
            excluded_upstreams: Vec::new(),
            tried_relays: RefCell::default(),
            progress: Progress {
                last_event: req.caller.last_event,
                ..Progress::default()
            },
            upstream_error: None,
            waited: Millis::ZERO,
            waited_for: WaitReason::Turn,
            sent_at: None,
            upstream: None,
            is_logged: false,
            req: Rc::new(req),
        }
    }

    pub(super) async fn run(
        mut self,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        if self.req.is_resumption() {
            self.find_origin().await;
            if !self.progress.origin.is_resumable() {
                let refusal = Refusal::new(ErrorKind::StreamNotResumable);
                return self.give_up(refusal, out).await;
            }
        }
        let mut successor = None;
        loop {
            if successor.is_none() && !self.is_reachable().await {
                let refusal = Refusal::after(ErrorKind::NoUpstream, ISOLATED_RETRY_DELAY);
                return self.give_up(refusal, out).await;
            }
            let queued_at = self.cx.clock.now();
            let placement_result = match successor.take() {
                Some(placement) => Ok(placement),
                None => self.place().await,
            };
            self.waited += self.cx.clock.now().since(queued_at);
            let placement = match placement_result {
                Ok(placement) => placement,
                Err(placement_error) => {
                    self.waited_for = placement_error.waited_for;
                    return self.give_up(placement_error.refusal, out).await;
                }
            };
            self.waited_for = placement.waited_for;
            self.sent_at = Some(self.cx.clock.now());
            self.upstream = Some(placement.upstream.clone());
            let after_event = self.progress.last_event.unwrap_or_default();
            Line::new("request_sent")
                .with("id", self.id())
                .with("upstream", &placement.upstream)
                .with("attempt", self.attempts.next_attempt())
                .with("version", placement.version.unwrap_or_default())
                .with("newest", self.newest_version())
                .with("build", placement.build.as_deref().unwrap_or("-"))
                .with("after_event", after_event)
                .with("waited_ms", self.waited)
                .with("waited_for", self.waited_for.as_str())
                .with("decided_by", self.cx.scheduling.decider())
                .info();
            match self.attempt(&placement, out).await {
                Step::Done(result) => {
                    let outcome = if result.is_ok() {
                        "answered"
                    } else {
                        "caller_gone"
                    };
                    self.log_end(outcome);
                    return result;
                }
                Step::Retry(found) => successor = found,
                Step::Fail(kind) => return self.give_up(Refusal::new(kind), out).await,
            }
        }
    }

    /// Looks up where the stream began that the caller resumes.
    async fn find_origin(&mut self) {
        let caller = &self.req.caller;
        let lookup = match &caller.resumes {
            Some(id) => self.cx.origins.look_up(id).await,
            None => OriginLookup::default(),
        };
        let recorded = lookup.recorded.as_ref();
        let line = Line::new("resumption_requested")
            .with("id", self.id())
            .with("resumes", caller.resumes.as_deref().unwrap_or("-"))
            .with("after_event", caller.last_event.unwrap_or_default())
            .with(
                "recorded",
                recorded
                    .and_then(|origin| origin.build.as_deref())
                    .unwrap_or("-"),
            )
            .with("service", recorded.map_or("-", |origin| &origin.service))
            .with("asked", lookup.asked)
            .with("answered", lookup.answered);
        let known = self.cx.scheduling.known_builds(&self.req.service);
        let is_recorded = lookup.recorded.is_some();
        let origin = lookup.conclude(&self.req.service, known);
        self.cx
            .metrics
            .count_resumption(match origin.required_build() {
                Some(_) if is_recorded => "recorded",
                Some(_) => "only_build",
                None => "unknown",
            });
        line.with("build", origin.required_build().unwrap_or("-"))
            .info();
        self.progress.origin = origin;
    }

    /// Whether any upstream can be reached; an answer that has begun waits for one until its deadline.
    async fn is_reachable(&self) -> bool {
        let links = &self.cx.links;
        let allowed = &self.req.allowed_data_centres;
        while self.progress.first_at.is_some()
            && !links.can_send(allowed)
            && self.cx.clock.now() < self.req.deadline
        {
            sleep(REACHABILITY_CHECK_INTERVAL.to_std()).await;
        }
        !links.is_isolated()
    }

    /// Waits for placement of the next attempt.
    async fn place(&self) -> Result<Placement, PlacementError> {
        let attempt = AttemptSpec {
            number: self.attempts.next_attempt(),
            excluded_upstreams: &self.excluded_upstreams,
            build: self.progress.origin.required_build(),
            has_begun: self.progress.first_at.is_some(),
            is_successor: false,
        };
        place(self.cx, &self.req, &attempt).await
    }

    /// The search for an upstream that takes over from that of a placement.
    fn successor(
        &self,
        placement: &Placement,
    ) -> Successor {
        let number = self.attempts.next_attempt() + 1;
        let next_attempt = Some(number).filter(|_| self.attempts.can_retry_after_run());
        let mut excluded = self.excluded_upstreams.clone();
        excluded.push(placement.upstream.clone());
        let successor = Successor::new(self.cx, &self.req, next_attempt, excluded);
        match self.progress.first_at {
            Some(_) => successor.note_begun(&self.progress.origin),
            None if self.req.is_resumption() => successor.note_origin(&self.progress.origin),
            None => {}
        }
        successor
    }

    async fn attempt(
        &mut self,
        placement: &Placement,
        out: &mut ResponseWriter<'_>,
    ) -> Step {
        let started_at = self.cx.clock.now();
        let generation = self.req.generation();
        let successor = self.successor(placement);
        let result = tokio::select! {
            biased;
            result = self.exchange(placement, &successor, out) => result,
            () = placement.begin_expired(generation.as_ref()) => {
                self.note_withdrawn(placement);
                Err(Failure::may_have_run(Outcome::Abandoned).into())
            }
        };
        match result {
            Ok(()) => {
                let evidence = self.evidence(self.answer_end());
                let took = self.cx.clock.now().since(started_at);
                self.cx.metrics.count_attempt(Outcome::Answered { took });
                let first = self.progress.first_at.map(|at| at.since(self.req.arrived));
                self.cx
                    .metrics
                    .record_answered(&self.req, self.waited, first);
                placement.end(Outcome::Answered { took }, evidence);
                Step::Done(Ok(()))
            }
            Err(RelayError::Caller(e)) => {
                placement.end(Outcome::Abandoned, self.evidence(AnswerEnd::GivenUp));
                Step::Done(Err(e))
            }
            Err(RelayError::Upstream(failure)) => {
                let found = successor.into_found();
                self.handle_failure(placement, failure, found).await
            }
            Err(RelayError::Refused(kind)) => {
                placement.end(Outcome::Abandoned, PromptEvidence::None);
                Step::Fail(kind)
            }
        }
    }

    /// Sends the request and forwards the response.
    async fn exchange(
        &mut self,
        placement: &Placement,
        successor: &Successor,
        out: &mut ResponseWriter<'_>,
    ) -> Result<(), RelayError> {
        let attempt = AttemptContext {
            cx: self.cx,
            req: &self.req,
            placement,
            successor,
            tried_relays: &self.tried_relays,
        };
        let after_event = self
            .progress
            .last_event
            .filter(|_| self.progress.events > 0);
        self.progress.begin_attempt();
        let response = match attempt.start(after_event).await {
            Start::Responding(response) => response,
            Start::Failed(failure) => return Err(failure.into()),
            Start::Refused(kind) => return Err(RelayError::Refused(kind)),
        };
        let is_success = matches!(response.head.status, 200..=299);
        if is_success {
            let now = self.cx.clock.now();
            self.progress.begin_response(response.head.framing, now);
        }
        let is_stream = self.req.is_stream() && response.head.status == 200;
        if is_stream {
            return relay(&attempt, response, &mut self.progress, out).await;
        }
        if is_success {
            attempt.note_begun();
        }
        let (head, body) = attempt.read_whole(response).await?;
        Ok(out.write_whole(&head, &body).await?)
    }

    /// Logs that a request is withdrawn from an upstream, as it would begin on an older version of its adapter.
    fn note_withdrawn(
        &self,
        placement: &Placement,
    ) {
        Line::new("older_version_withdrawn")
            .with("id", self.id())
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("upstream", &placement.upstream)
            .with("version", placement.version.unwrap_or_default())
            .with("newest", self.newest_version())
            .info();
    }

    /// Decides between a retry and a final error after a failed attempt.
    async fn handle_failure(
        &mut self,
        placement: &Placement,
        failure: Failure,
        successor: Option<Placement>,
    ) -> Step {
        let answer_end = if failure.is_broken {
            AnswerEnd::Broken
        } else {
            AnswerEnd::GivenUp
        };
        placement.end(failure.outcome, self.evidence(answer_end));
        self.cx.metrics.count_attempt(failure.outcome);
        let can_retry = self.attempts.record_end(failure.end);
        Line::new("attempt_failed")
            .with("id", self.id())
            .with("upstream", &placement.upstream)
            .with("outcome", format!("{:?}", failure.outcome))
            .with("framing", framing_name(self.progress.framing))
            .with("partial_bytes", self.progress.partial_bytes)
            .with("events", self.progress.events)
            .with("begun_ms", self.progress.received_for())
            .with("silent_ms", self.silent_for())
            .with("received_bytes", self.progress.received_bytes)
            .with("stalled_ms", self.stalled_for())
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("parts", part_names(&self.req.caller.parts))
            .with("again", can_retry)
            .info();
        self.upstream_error = failure.response.or(self.upstream_error.take());
        let is_expired = self.cx.clock.now() >= self.req.deadline;
        let has_begun = self.progress.first_at.is_some();
        match failure.outcome {
            _ if is_expired && self.attempts.may_have_run() => {
                Step::Fail(ErrorKind::DeadlineExceeded)
            }
            _ if is_expired => Step::Fail(ErrorKind::CannotMeetDeadline),
            _ if has_begun && !self.can_resume() => Step::Fail(ErrorKind::AnswerCut),
            _ if !can_retry && self.attempts.may_have_run() => Step::Fail(ErrorKind::UpstreamLost),
            _ if !can_retry => Step::Fail(ErrorKind::NoUpstream),
            Outcome::NotLoaded => {
                sleep(NOT_RUN_RETRY_DELAY.to_std()).await;
                Step::Retry(None)
            }
            _ => {
                self.excluded_upstreams.push(placement.upstream.clone());
                Step::Retry(successor)
            }
        }
    }

    /// How a complete answer ended.
    fn answer_end(&self) -> AnswerEnd {
        match self.progress.framing {
            Some(Framing::UntilClose) => AnswerEnd::Closed,
            // A stream without any data shows no more than a head.
            _ if self.req.is_stream() && self.progress.received_at.is_none() => AnswerEnd::Closed,
            _ => AnswerEnd::Whole,
        }
    }

    /// What the last attempt shows about the prompt.
    fn evidence(
        &self,
        end: AnswerEnd,
    ) -> PromptEvidence {
        let Some(begun_at) = self.progress.head_at else {
            return PromptEvidence::None;
        };
        let trace = AnswerTrace {
            begun_ago: self.cx.clock.now().since(begun_at),
            received_for: self.progress.received_for(),
            end,
        };
        trace.evidence()
    }

    /// Time since the last attempt was sent, or its upstream last sent anything.
    fn silent_for(&self) -> Millis {
        let heard_at = self.progress.received_at.or(self.progress.head_at);
        let since = heard_at.or(self.sent_at).unwrap_or(self.req.arrived);
        self.cx.clock.now().since(since)
    }

    /// Time since the last attempt was sent, or an event of its response was forwarded, whatever else its upstream sent.
    fn stalled_for(&self) -> Millis {
        let event_at = self.progress.event_at.or(self.sent_at);
        let since = event_at.unwrap_or(self.req.arrived);
        self.cx.clock.now().since(since)
    }

    /// Whether another upstream may add the rest of a stream that has begun.
    fn can_resume(&self) -> bool {
        self.req.is_resumable() && self.progress.origin.is_resumable()
    }

    /// Sends the final response of a request that failed.
    async fn give_up(
        &mut self,
        refusal: Refusal,
        out: &mut ResponseWriter<'_>,
    ) -> io::Result<()> {
        let refusal = self.refusal_after_attempts(refusal);
        self.cx
            .metrics
            .count_refused(refusal, self.req.account.as_deref());
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
        if let Some((head, body)) = self.upstream_error.take() {
            return out.write_whole(&head, &body).await;
        }
        let id = self.req.caller.request_id.as_deref();
        out.write_error(ErrorResponse(refusal), id).await
    }

    /// Replaces a refusal that claims that the request didn't run if an attempt may have run.
    fn refusal_after_attempts(
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

    /// The newest announced version of the request's adapter that this VM knows; 0 for none.
    fn newest_version(&self) -> u32 {
        let newest = self.req.newest_version(&self.cx.scheduling.local_scheduler);
        newest.map_or(0, |newest| newest.limit.version)
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
            .with("framing", framing_name(self.progress.framing))
            .with("partial_bytes", self.progress.partial_bytes)
            .with("result", result)
            .info();
    }
}

/// The parts of a prompt in the log, in their order.
fn part_names(parts: &[PromptPart]) -> String {
    let parts: Vec<PartId> = parts.iter().map(|part| PartId::Part(part.id)).collect();
    join_parts(&parts, ",")
}

/// The name of a stream's framing in the log.
const fn framing_name(framing: Option<Framing>) -> &'static str {
    match framing {
        None => "-",
        Some(Framing::Empty) => "empty",
        Some(Framing::Length(_)) => "length",
        Some(Framing::Chunked) => "chunked",
        Some(Framing::UntilClose) => "until_close",
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
