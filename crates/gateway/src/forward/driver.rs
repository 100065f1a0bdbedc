use {
    super::{
        BufferedAnswer, ForwardContext, ForwardResult, Outbound, ResponseSender, error_body,
        upstream_exchange::{HeadResult, UpstreamEvent, UpstreamExchange},
        upstream_response::StreamItem,
    },
    crate::{
        coordinator::{AttemptOutcome, RequestGuard, RerouteRequest, Routed},
        request::Problem,
        sse::{AnswerBuilder, Chunk, Usage},
        upstream::SendFailure,
    },
    actix_web::http::StatusCode,
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::{
            Attempt, ForwardAction as Action, ForwardEvent as Event, ForwardMachine, ForwardPlan,
            Head, RouteCause,
        },
    },
    jasmine_telemetry::log::Line,
    std::{collections::VecDeque, pin::Pin, sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::Instant},
};

/// How long a slow caller is waited for when a broken stream ends with an error event.
const FINAL_EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// An input of the driver.
enum DriverEvent {
    Upstream(UpstreamEvent),
    Forward(Event),
}

/// Forwards one request by driving its [`ForwardMachine`].
pub struct Driver {
    cx: ForwardContext,
    plan: ForwardPlan,
    state_machine: ForwardMachine,
    upstream: UpstreamExchange,
    response_sender: ResponseSender,
    guard: RequestGuard,
    chunk: Option<Chunk>,
    answer_builder: AnswerBuilder,
    service_answer: Option<BufferedAnswer>,
    usage: Option<Usage>,
    last_token_at: Option<Instant>,
    sleep: Pin<Box<tokio::time::Sleep>>,
    not_loaded: bool,
}

impl std::fmt::Debug for Driver {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("Driver")
            .field("request", &self.cx.request)
            .field("machine", &self.state_machine)
            .finish_non_exhaustive()
    }
}

impl Driver {
    /// Creates a driver for a request that has been submitted for admission.
    pub fn new(
        cx: ForwardContext,
        plan: ForwardPlan,
        outbound: Outbound,
        response_sender: ResponseSender,
        guard: RequestGuard,
        routing: oneshot::Receiver<Result<Routed, Refusal>>,
    ) -> Self {
        // The first route was requested together with the admission.
        let (state_machine, _route) = ForwardMachine::new(plan, cx.clock.now());
        Self {
            sleep: Box::pin(tokio::time::sleep_until(cx.clock.instant(plan.deadline))),
            cx,
            plan,
            state_machine,
            upstream: UpstreamExchange::new(outbound, plan.deadline, routing),
            response_sender,
            guard,
            chunk: None,
            answer_builder: AnswerBuilder::default(),
            service_answer: None,
            usage: None,
            last_token_at: None,
            not_loaded: false,
        }
    }

    /// Runs until the caller has received the response or has disconnected.
    pub async fn run(mut self) -> ForwardResult {
        let readiness = Arc::clone(&self.cx.readiness);
        let mut aborted = std::pin::pin!(readiness.until_aborted());
        while !self.state_machine.is_done() {
            let event = tokio::select! {
                biased;
                () = &mut aborted => DriverEvent::Forward(Event::Stopping),
                event = self.next() => event,
            };
            let event = self.record_event(event);
            let is_timer = event == Event::Timer;
            let mut actions = VecDeque::from(self.state_machine.handle(event, self.cx.clock.now()));
            if is_timer && actions.front() == Some(&Action::Abandon) {
                self.cx.connections.discard_idle();
            }
            while let Some(action) = actions.pop_front() {
                self.perform(action).await;
            }
        }
        if self.guard.outcome == AttemptOutcome::Cancelled {
            self.guard.used_tokens = (!self.state_machine.may_have_run()).then_some(0);
        }
        ForwardResult {
            answer: self.service_answer,
            may_have_run: self.state_machine.may_have_run(),
        }
    }

    async fn next(&mut self) -> DriverEvent {
        self.arm_timer();
        let sleep = self.sleep.as_mut();
        if self.response_sender.has_backlog() {
            return DriverEvent::Forward(tokio::select! {
                biased;
                () = self.guard.withdrawn() => Event::KeyWithdrawn,
                is_flushed = self.response_sender.flush() => {
                    if is_flushed { Event::CallerReady } else { Event::CallerGone }
                }
                () = sleep => Event::Timer,
            });
        }
        tokio::select! {
            biased;
            () = self.guard.withdrawn() => DriverEvent::Forward(Event::KeyWithdrawn),
            () = self.response_sender.closed() => DriverEvent::Forward(Event::CallerGone),
            event = self.upstream.next() => DriverEvent::Upstream(event),
            () = sleep => DriverEvent::Forward(Event::Timer),
        }
    }

    /// Moves the timer to an earlier wake-up only; a spurious wake-up is harmless.
    fn arm_timer(&mut self) {
        let wake = self.state_machine.wake_at().unwrap_or(self.plan.deadline);
        let wake = self.cx.clock.instant(wake);
        if self.sleep.is_elapsed() || wake < self.sleep.deadline() {
            self.sleep.as_mut().reset(wake);
        }
    }

    /// Stores the data of an event and converts it to an input of the state machine.
    fn record_event(
        &mut self,
        event: DriverEvent,
    ) -> Event {
        let attempt = self.upstream.attempt;
        let upstream_event = match event {
            DriverEvent::Forward(event) => return event,
            DriverEvent::Upstream(event) => event,
        };
        match upstream_event {
            UpstreamEvent::Routed(Ok(routed)) => {
                self.record_route(&routed);
                let upstream = routed.upstream;
                self.upstream.routed = Some(routed);
                Event::Routed { attempt, upstream }
            }
            UpstreamEvent::Routed(Err(refusal)) => Event::RouteRefused { attempt, refusal },
            UpstreamEvent::HeadReceived(HeadResult::Failed(SendFailure::NotSent)) => {
                Event::Unreachable { attempt }
            }
            UpstreamEvent::HeadReceived(HeadResult::Failed(SendFailure::Lost))
            | UpstreamEvent::StreamRead(StreamItem::Broken)
            | UpstreamEvent::BodyRead(None) => Event::Lost { attempt },
            UpstreamEvent::HeadReceived(HeadResult::Answered {
                head,
                stream_name,
                response,
            }) => {
                self.not_loaded = head == Head::NotLoaded;
                if matches!(head, Head::Accepted { .. }) {
                    self.upstream.read(*response, stream_name);
                }
                Event::Head { attempt, head }
            }
            UpstreamEvent::StreamRead(StreamItem::Chunk(chunk)) => self.record_chunk(chunk),
            UpstreamEvent::StreamRead(StreamItem::Done) => Event::End {
                attempt,
                generated_tokens: self.usage.map(|usage| usage.completion_tokens),
            },
            UpstreamEvent::BodyRead(Some(answer)) => {
                self.service_answer = Some(answer);
                Event::End {
                    attempt,
                    generated_tokens: None,
                }
            }
        }
    }

    fn record_route(
        &self,
        routed: &Routed,
    ) {
        let cx = &self.cx;
        cx.metrics.queue_wait(&cx.labels, routed.queue_wait);
        cx.metrics.batch(&cx.labels, routed.batch);
        if routed.load_wait > Millis::ZERO {
            cx.metrics.load_stall(&cx.labels, routed.load_wait);
        }
    }

    fn record_chunk(
        &mut self,
        chunk: Chunk,
    ) -> Event {
        self.usage = chunk.usage().or(self.usage);
        let part = jasmine_core::forward::Part {
            offset: chunk.offset,
            kind: chunk.kind(self.state_machine.offset()),
        };
        self.chunk = Some(chunk);
        Event::Part {
            attempt: self.upstream.attempt,
            part,
        }
    }

    async fn perform(
        &mut self,
        action: Action,
    ) {
        match action {
            Action::Route { attempt, cause, .. } => self.reroute(attempt, cause),
            Action::Send { attempt, fresh } => self.send(attempt, fresh),
            Action::Resume { attempt, offset } => self.upstream.resume(&self.cx, attempt, offset),
            Action::Abandon => self.upstream.abandon(),
            Action::Cancel => self.upstream.cancel(&self.cx),
            Action::Discard => {
                self.answer_builder = AnswerBuilder::default();
                self.usage = None;
            }
            Action::Deliver(_) => self.deliver(),
            Action::Finish => self.finish().await,
            Action::Refuse(refusal) => self.refuse(refusal.into()),
            Action::Break(kind) => self.end_with_error(kind).await,
        }
    }

    fn reroute(
        &mut self,
        attempt: Attempt,
        cause: RouteCause,
    ) {
        let again = RerouteRequest {
            request: self.cx.request,
            cause,
            not_loaded: std::mem::take(&mut self.not_loaded),
        };
        let routing = self.guard.reroute(again);
        self.upstream.reroute(attempt, routing);
    }

    fn send(
        &mut self,
        attempt: Attempt,
        fresh: bool,
    ) {
        if let Err(problem) = self.upstream.send(&self.cx, attempt, fresh) {
            // Admission has already checked for this, so it is a bug; nothing was sent.
            self.refuse(problem);
            self.state_machine
                .handle(Event::CallerGone, self.cx.clock.now());
        }
    }

    fn deliver(&mut self) {
        let Some(chunk) = self.chunk.take() else {
            return;
        };
        self.record_token_timing();
        let Outbound::Completion(req) = &self.upstream.outbound else {
            return;
        };
        if !req.stream {
            self.answer_builder.add(&chunk);
            return;
        }
        let is_usage_only =
            chunk.usage().is_some() && chunk.text().is_empty() && chunk.finish_reason().is_none();
        if is_usage_only && !req.with_usage {
            return;
        }
        let text = chunk.for_caller(
            self.cx.name.as_str(),
            &self.cx.requested_name,
            req.with_usage,
        );
        if !self
            .response_sender
            .send_part(Bytes::from(format!("data: {text}\n\n")))
        {
            self.state_machine
                .handle(Event::CallerSlow, self.cx.clock.now());
        }
    }

    fn record_token_timing(&mut self) {
        let now = Instant::now();
        let cx = &self.cx;
        match self.last_token_at.replace(now) {
            None => cx.metrics.first_token(&cx.labels, now - cx.arrived),
            Some(before) => cx.metrics.token_gap(&cx.labels, now - before),
        }
    }

    async fn finish(&mut self) {
        self.guard.outcome = AttemptOutcome::Answered;
        self.guard.used_tokens = self.usage.map(Usage::total);
        if let Some(used_tokens) = self.guard.used_tokens {
            self.cx.metrics.settled(&self.cx.labels, used_tokens);
        }
        self.log("answered", StatusCode::OK);
        match &self.upstream.outbound {
            Outbound::Completion(req) if req.stream => {
                let limit = self.cx.clock.instant(self.plan.deadline);
                self.response_sender
                    .end(Bytes::from_static(b"data: [DONE]\n\n"), limit)
                    .await;
            }
            Outbound::Completion(req) => {
                let answer_builder = std::mem::take(&mut self.answer_builder);
                let json = answer_builder.into_answer(
                    req.kind,
                    self.cx.name.as_str(),
                    &self.cx.requested_name,
                );
                self.response_sender
                    .answer(Ok(BufferedAnswer::from_json(&json)));
            }
            Outbound::Service(_) => {
                self.record_token_timing();
                if let Some(answer) = &self.service_answer {
                    self.response_sender.answer(Ok(answer.clone()));
                }
            }
        }
    }

    fn refuse(
        &mut self,
        problem: Problem,
    ) {
        self.service_answer = None;
        let kind = problem.refusal.kind;
        self.set_lease_outcome(kind);
        let status = StatusCode::from_u16(kind.answer().status);
        self.log(kind.answer().code, status.unwrap_or_default());
        self.response_sender.answer(Err(problem));
    }

    async fn end_with_error(
        &mut self,
        kind: ErrorKind,
    ) {
        self.set_lease_outcome(kind);
        self.cx.refusals.count(kind, &self.cx.account);
        self.log(kind.answer().code, StatusCode::OK);
        let json = error_body(&Problem::from(kind), &self.cx.name);
        let last = Bytes::from(format!("data: {json}\n\n"));
        self.response_sender
            .end(last, Instant::now() + FINAL_EVENT_TIMEOUT)
            .await;
    }

    /// Sets the charge to zero if nothing ran; otherwise the full charge stays.
    fn set_lease_outcome(
        &mut self,
        kind: ErrorKind,
    ) {
        self.guard.outcome = match kind {
            ErrorKind::UpstreamUnreachable
            | ErrorKind::UpstreamLost
            | ErrorKind::UpstreamInvalid
            | ErrorKind::AnswerCut => AttemptOutcome::Failed,
            _ => AttemptOutcome::Cancelled,
        };
        self.guard.used_tokens = (!self.state_machine.may_have_run()).then_some(0);
    }

    fn log(
        &self,
        result: &str,
        status: StatusCode,
    ) {
        let upstream = self
            .upstream
            .routed
            .as_ref()
            .map_or(0, |routed| routed.upstream.0);
        Line::new("request")
            .with("request_id", &self.cx.name)
            .with("account", &self.cx.account)
            .with("class", self.cx.priority)
            .with("asked", &self.cx.requested_name)
            .with("result", result)
            .with("status", status.as_u16())
            .with("upstream", upstream)
            .with("attempts", self.upstream.attempt)
            .with("tokens", self.state_machine.offset())
            .with("ms", self.cx.arrived.elapsed().as_millis())
            .info();
    }
}
