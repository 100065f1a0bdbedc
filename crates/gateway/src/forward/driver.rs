use {
    super::{
        Caller, Ending, ForwardContext, Outbound, WholeAnswer, error_body,
        reading::Read,
        upstream_side::{Headed, Heard, UpstreamSide},
    },
    crate::{
        brain::{Lease, Outcome, RouteAgain, Routed},
        request::Problem,
        sse::{Assembly, Chunk, Usage},
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

/// How long a caller may take to read the end of a broken answer.
const LAST_WORD: Duration = Duration::from_secs(5);

/// What has happened.
enum Happened {
    Heard(Heard),
    Known(Event),
}

/// Drives the forwarding of one request to its end.
pub struct Driver {
    cx: ForwardContext,
    plan: ForwardPlan,
    machine: ForwardMachine,
    upstream: UpstreamSide,
    caller: Caller,
    lease: Lease,
    chunk: Option<Chunk>,
    assembly: Assembly,
    whole: Option<WholeAnswer>,
    usage: Option<Usage>,
    heard: Option<Instant>,
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
            .field("machine", &self.machine)
            .finish_non_exhaustive()
    }
}

impl Driver {
    /// A driver for a request that has been announced to the brain.
    pub fn new(
        cx: ForwardContext,
        plan: ForwardPlan,
        outbound: Outbound,
        caller: Caller,
        lease: Lease,
        routing: oneshot::Receiver<Result<Routed, Refusal>>,
    ) -> Self {
        // The first route was asked for with the announcement.
        let (machine, _route) = ForwardMachine::new(plan, cx.clock.now());
        Self {
            sleep: Box::pin(tokio::time::sleep_until(cx.clock.instant(plan.deadline))),
            cx,
            plan,
            machine,
            upstream: UpstreamSide::new(outbound, plan.deadline, routing),
            caller,
            lease,
            chunk: None,
            assembly: Assembly::default(),
            whole: None,
            usage: None,
            heard: None,
            not_loaded: false,
        }
    }

    /// Runs until the caller has its answer or has gone.
    pub async fn run(mut self) -> Ending {
        let readiness = Arc::clone(&self.cx.readiness);
        let mut cut_off = std::pin::pin!(readiness.until_cut_off());
        while !self.machine.is_done() {
            let happened = tokio::select! {
                biased;
                () = &mut cut_off => Happened::Known(Event::Stopping),
                happened = self.next() => happened,
            };
            let event = self.note(happened);
            let is_timer = event == Event::Timer;
            let mut actions = VecDeque::from(self.machine.handle(event, self.cx.clock.now()));
            if is_timer && actions.front() == Some(&Action::Abandon) {
                self.cx.connections.renew();
            }
            while let Some(action) = actions.pop_front() {
                self.act(action).await;
            }
        }
        if self.lease.outcome == Outcome::Stopped {
            self.lease.used = (!self.machine.may_have_run()).then_some(0);
        }
        Ending {
            answer: self.whole,
            may_have_run: self.machine.may_have_run(),
        }
    }

    async fn next(&mut self) -> Happened {
        self.arm();
        let sleep = self.sleep.as_mut();
        if self.caller.is_slow() {
            return Happened::Known(tokio::select! {
                biased;
                () = self.lease.withdrawn() => Event::KeyWithdrawn,
                taken = self.caller.taken() => {
                    if taken { Event::CallerReady } else { Event::CallerGone }
                }
                () = sleep => Event::Timer,
            });
        }
        tokio::select! {
            biased;
            () = self.lease.withdrawn() => Happened::Known(Event::KeyWithdrawn),
            () = self.caller.gone() => Happened::Known(Event::CallerGone),
            heard = self.upstream.next() => Happened::Heard(heard),
            () = sleep => Happened::Known(Event::Timer),
        }
    }

    /// Moves the timer only where it would come too late: one that comes early does no harm.
    fn arm(&mut self) {
        let wake = self.machine.wake_at().unwrap_or(self.plan.deadline);
        let wake = self.cx.clock.instant(wake);
        if self.sleep.is_elapsed() || wake < self.sleep.deadline() {
            self.sleep.as_mut().reset(wake);
        }
    }

    /// Takes in what has happened and says what the machine should know of it.
    fn note(
        &mut self,
        happened: Happened,
    ) -> Event {
        let attempt = self.upstream.attempt;
        let heard = match happened {
            Happened::Known(event) => return event,
            Happened::Heard(heard) => heard,
        };
        match heard {
            Heard::Routed(Ok(routed)) => {
                self.note_route(&routed);
                let upstream = routed.upstream;
                self.upstream.routed = Some(routed);
                Event::Routed { attempt, upstream }
            }
            Heard::Routed(Err(refusal)) => Event::RouteRefused { attempt, refusal },
            Heard::Headed(Headed::Failed(SendFailure::NotSent)) => Event::Unreachable { attempt },
            Heard::Headed(Headed::Failed(SendFailure::Lost))
            | Heard::Read(Read::Broken)
            | Heard::Collected(None) => Event::Lost { attempt },
            Heard::Headed(Headed::Answered {
                head,
                stream,
                response,
            }) => {
                self.not_loaded = head == Head::NotLoaded;
                if matches!(head, Head::Accepted { .. }) {
                    self.upstream.read(*response, stream);
                }
                Event::Head { attempt, head }
            }
            Heard::Read(Read::Chunk(chunk)) => self.note_chunk(chunk),
            Heard::Read(Read::Done) => Event::End {
                attempt,
                generated_tokens: self.usage.map(|usage| usage.completion_tokens),
            },
            Heard::Collected(Some(answer)) => {
                self.whole = Some(answer);
                Event::End {
                    attempt,
                    generated_tokens: None,
                }
            }
        }
    }

    fn note_route(
        &self,
        routed: &Routed,
    ) {
        let cx = &self.cx;
        cx.metrics.queue_wait(&cx.labels, routed.waited);
        cx.metrics.batch(&cx.labels, routed.batch);
        if routed.stalled > Millis::ZERO {
            cx.metrics.load_stall(&cx.labels, routed.stalled);
        }
    }

    fn note_chunk(
        &mut self,
        chunk: Chunk,
    ) -> Event {
        self.usage = chunk.usage().or(self.usage);
        let part = jasmine_core::forward::Part {
            offset: chunk.offset,
            kind: chunk.kind(self.machine.offset()),
        };
        self.chunk = Some(chunk);
        Event::Part {
            attempt: self.upstream.attempt,
            part,
        }
    }

    async fn act(
        &mut self,
        action: Action,
    ) {
        match action {
            Action::Route { attempt, cause, .. } => self.route_again(attempt, cause),
            Action::Send { attempt, fresh } => self.send(attempt, fresh),
            Action::Resume { attempt, offset } => self.upstream.resume(&self.cx, attempt, offset),
            Action::Abandon => self.upstream.abandon(),
            Action::Cancel => self.upstream.cancel(&self.cx),
            Action::Discard => {
                self.assembly = Assembly::default();
                self.usage = None;
            }
            Action::Deliver(_) => self.deliver(),
            Action::Finish => self.finish().await,
            Action::Refuse(refusal) => self.refuse(refusal.into()),
            Action::Break(kind) => self.break_off(kind).await,
        }
    }

    fn route_again(
        &mut self,
        attempt: Attempt,
        cause: RouteCause,
    ) {
        let again = RouteAgain {
            request: self.cx.request,
            cause,
            not_loaded: std::mem::take(&mut self.not_loaded),
        };
        let routing = self.lease.route_again(again);
        self.upstream.route_again(attempt, routing);
    }

    fn send(
        &mut self,
        attempt: Attempt,
        fresh: bool,
    ) {
        if let Err(problem) = self.upstream.send(&self.cx, attempt, fresh) {
            // Looked for before admission too, so this is a defect; nothing has left.
            self.refuse(problem);
            self.machine.handle(Event::CallerGone, self.cx.clock.now());
        }
    }

    fn deliver(&mut self) {
        let Some(chunk) = self.chunk.take() else {
            return;
        };
        self.note_pace();
        let Outbound::Completion(req) = &self.upstream.outbound else {
            return;
        };
        if !req.stream {
            self.assembly.add(&chunk);
            return;
        }
        let is_count_only =
            chunk.usage().is_some() && chunk.text().is_empty() && chunk.finish_reason().is_none();
        if is_count_only && !req.with_usage {
            return;
        }
        let text = chunk.for_caller(self.cx.name.as_str(), &self.cx.asked, req.with_usage);
        if !self.caller.stream(Bytes::from(format!("data: {text}\n\n"))) {
            self.machine.handle(Event::CallerSlow, self.cx.clock.now());
        }
    }

    fn note_pace(&mut self) {
        let now = Instant::now();
        let cx = &self.cx;
        match self.heard.replace(now) {
            None => cx.metrics.first_token(&cx.labels, now - cx.arrived),
            Some(before) => cx.metrics.token_gap(&cx.labels, now - before),
        }
    }

    async fn finish(&mut self) {
        self.lease.outcome = Outcome::Answered;
        self.lease.used = self.usage.map(Usage::total);
        if let Some(used) = self.lease.used {
            self.cx.metrics.settled(&self.cx.labels, used);
        }
        self.log("answered", StatusCode::OK);
        match &self.upstream.outbound {
            Outbound::Completion(req) if req.stream => {
                let limit = self.cx.clock.instant(self.plan.deadline);
                self.caller
                    .end(Bytes::from_static(b"data: [DONE]\n\n"), limit)
                    .await;
            }
            Outbound::Completion(req) => {
                let assembly = std::mem::take(&mut self.assembly);
                let json = assembly.into_answer(req.kind, self.cx.name.as_str(), &self.cx.asked);
                self.caller.answer(Ok(WholeAnswer::from_json(&json)));
            }
            Outbound::Service(_) => {
                self.note_pace();
                if let Some(answer) = &self.whole {
                    self.caller.answer(Ok(answer.clone()));
                }
            }
        }
    }

    fn refuse(
        &mut self,
        problem: Problem,
    ) {
        self.whole = None;
        let kind = problem.refusal.kind;
        self.settle_unfinished(kind);
        let status = StatusCode::from_u16(kind.answer().status);
        self.log(kind.answer().code, status.unwrap_or_default());
        self.caller.answer(Err(problem));
    }

    async fn break_off(
        &mut self,
        kind: ErrorKind,
    ) {
        self.settle_unfinished(kind);
        self.cx.refusals.count(kind, &self.cx.account);
        self.log(kind.answer().code, StatusCode::OK);
        let json = error_body(&Problem::from(kind), &self.cx.name);
        let last = Bytes::from(format!("data: {json}\n\n"));
        self.caller.end(last, Instant::now() + LAST_WORD).await;
    }

    /// Charges nothing where nothing ran, and all where nobody knows how much did.
    fn settle_unfinished(
        &mut self,
        kind: ErrorKind,
    ) {
        self.lease.outcome = match kind {
            ErrorKind::UpstreamUnreachable
            | ErrorKind::UpstreamLost
            | ErrorKind::UpstreamInvalid
            | ErrorKind::AnswerCut => Outcome::Failed,
            _ => Outcome::Stopped,
        };
        self.lease.used = (!self.machine.may_have_run()).then_some(0);
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
            .with("asked", &self.cx.asked)
            .with("result", result)
            .with("status", status.as_u16())
            .with("upstream", upstream)
            .with("attempts", self.upstream.attempt)
            .with("tokens", self.machine.offset())
            .with("ms", self.cx.arrived.elapsed().as_millis())
            .info();
    }
}
