use {
    super::{
        Caller, Outbound, WholeAnswer, error_body,
        outbound::AttemptHeaders,
        reading::{Expected, Read, Reading, collect, engine_head, service_head},
    },
    crate::{
        brain::{Lease, Outcome, RouteAgain, Routed},
        clock::Clock,
        request::{CallerKey, Problem, RequestName},
        sse::{Assembly, Chunk, Usage},
        upstream::{Connections, SendFailure, Sent},
    },
    actix_web::http::{
        Method, StatusCode,
        header::{CONTENT_TYPE, HeaderMap, HeaderValue},
    },
    bytes::Bytes,
    futures::future::LocalBoxFuture,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::{
            Attempt, ForwardAction as Action, ForwardEvent as Event, ForwardMachine, ForwardPlan,
            Head, RouteCause,
        },
        ids::RequestId,
    },
    jasmine_telemetry::{
        log::Line,
        metrics::{Labels, Refusals, RequestMetrics},
    },
    std::{collections::VecDeque, pin::Pin, rc::Rc, time::Duration},
    tokio::{sync::oneshot, time::Instant},
};

/// How long an upstream may take to acknowledge that it stops.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a caller may take to read the end of a broken answer.
const LAST_WORD: Duration = Duration::from_secs(5);

/// What a request brings along besides what is sent.
#[derive(Clone, Debug)]
pub struct ForwardContext {
    /// The worker's connections.
    pub connections: Rc<Connections>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The request's number.
    pub request: RequestId,
    /// Its name.
    pub name: RequestName,
    /// The process's part of the ids of attempts.
    pub origin: String,
    /// The key that came with it.
    pub key: CallerKey,
    /// The client account's name.
    pub account: String,
    /// The priority class.
    pub priority: &'static str,
    /// The model as the caller named it, or the service.
    pub asked: String,
    /// When it arrived.
    pub arrived: Instant,
    /// Where figures go.
    pub metrics: RequestMetrics,
    /// Where refusals are counted.
    pub refusals: Refusals,
    /// Account and class of the figures.
    pub labels: Labels,
}

/// What a request waits for.
enum Doing {
    Nothing,
    Routing(oneshot::Receiver<Result<Routed, Refusal>>),
    Heading(LocalBoxFuture<'static, Headed>),
    Reading(Box<Reading>),
    Collecting(LocalBoxFuture<'static, Option<WholeAnswer>>),
}

/// What came of sending.
enum Headed {
    Failed(SendFailure),
    Answered {
        head: Head,
        stream: Option<String>,
        response: Box<Sent>,
    },
}

/// What has happened.
enum Happened {
    Routed(Result<Routed, Refusal>),
    Headed(Headed),
    Read(Read),
    Collected(Option<WholeAnswer>),
    Known(Event),
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Ending {
    /// The whole answer of a plain service.
    pub answer: Option<WholeAnswer>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
}

/// Drives the forwarding of one request to its end.
pub struct Driver {
    cx: ForwardContext,
    plan: ForwardPlan,
    machine: ForwardMachine,
    outbound: Outbound,
    caller: Caller,
    lease: Lease,
    doing: Doing,
    attempt: Attempt,
    /// The id under which the upstream knows the request, also when its stream is resumed.
    sent_as: String,
    routed: Option<Routed>,
    stream: Option<String>,
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
            outbound,
            caller,
            lease,
            doing: Doing::Routing(routing),
            attempt: Attempt(1),
            sent_as: String::new(),
            routed: None,
            stream: None,
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
        while !self.machine.is_done() {
            let happened = self.next().await;
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
            happened = self.doing.next() => happened,
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
        let attempt = self.attempt;
        match happened {
            Happened::Known(event) => event,
            Happened::Routed(Ok(routed)) => {
                self.note_route(&routed);
                let upstream = routed.upstream;
                self.routed = Some(routed);
                Event::Routed { attempt, upstream }
            }
            Happened::Routed(Err(refusal)) => Event::RouteRefused { attempt, refusal },
            Happened::Headed(Headed::Failed(SendFailure::NotSent)) => {
                Event::Unreachable { attempt }
            }
            Happened::Headed(Headed::Failed(SendFailure::Lost))
            | Happened::Read(Read::Broken)
            | Happened::Collected(None) => Event::Lost { attempt },
            Happened::Headed(Headed::Answered {
                head,
                stream,
                response,
            }) => {
                self.note_head(head, stream, *response);
                Event::Head { attempt, head }
            }
            Happened::Read(Read::Chunk(chunk)) => self.note_chunk(chunk),
            Happened::Read(Read::Done) => Event::End {
                attempt,
                made: self.usage.map(|usage| usage.completion_tokens),
            },
            Happened::Collected(Some(answer)) => {
                self.whole = Some(answer);
                Event::End {
                    attempt,
                    made: None,
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

    fn note_head(
        &mut self,
        head: Head,
        stream: Option<String>,
        response: Sent,
    ) {
        self.not_loaded = head == Head::NotLoaded;
        if !matches!(head, Head::Accepted { .. }) {
            return;
        }
        self.lease.answering();
        self.stream = stream.or(self.stream.take());
        self.doing = match &self.outbound {
            Outbound::Completion(_) => {
                Doing::Reading(Box::new(Reading::new(response, self.sent_as.clone())))
            }
            Outbound::Service(req) => {
                Doing::Collecting(Box::pin(collect(response, req.method.clone())))
            }
        };
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
            attempt: self.attempt,
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
            Action::Resume { attempt, offset } => self.resume(attempt, offset),
            Action::Abandon => self.doing = Doing::Nothing,
            Action::Cancel => self.cancel(),
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
        self.attempt = attempt;
        self.stream = None;
        let again = RouteAgain {
            request: self.cx.request,
            cause,
            not_loaded: std::mem::take(&mut self.not_loaded),
        };
        self.doing = Doing::Routing(self.lease.route_again(again));
    }

    fn send(
        &mut self,
        attempt: Attempt,
        fresh: bool,
    ) {
        self.attempt = attempt;
        let Some(routed) = self.routed.clone() else {
            return;
        };
        let request_id = self.attempt_id();
        self.sent_as.clone_from(&request_id);
        let headers = AttemptHeaders {
            request_id: &request_id,
            account: &self.cx.account,
            priority: self.cx.priority,
            left: self.plan.deadline.since(self.cx.clock.now()),
        };
        match self.outbound.parts(&routed, &self.cx.key, headers) {
            Ok((method, target, headers, body)) => {
                let connections = Rc::clone(&self.cx.connections);
                let expected = Expected {
                    request_id,
                    weights: routed.weights,
                };
                let is_engine = matches!(self.outbound, Outbound::Completion(_));
                self.doing = Doing::Heading(Box::pin(async move {
                    let sent = connections
                        .send(fresh, routed.address, method, &target, headers, body)
                        .await;
                    headed(sent, &expected, is_engine, false).await
                }));
            }
            // Checked before admission; nothing has left.
            Err(problem) => {
                self.refuse(problem);
                self.machine
                    .handle(Event::CallerGone, self.cx.clock.now())
                    .clear();
            }
        }
    }

    fn resume(
        &mut self,
        attempt: Attempt,
        offset: u64,
    ) {
        self.attempt = attempt;
        let (Some(routed), Some(stream)) = (&self.routed, &self.stream) else {
            return;
        };
        let target = format!("/v1/streams/{stream}?offset={offset}");
        let address = routed.address;
        let expected = Expected {
            request_id: self.sent_as.clone(),
            weights: routed.weights.clone(),
        };
        let headers = self.stream_headers();
        let connections = Rc::clone(&self.cx.connections);
        self.doing = Doing::Heading(Box::pin(async move {
            let sent = connections
                .send(true, address, Method::GET, &target, headers, Bytes::new())
                .await;
            headed(sent, &expected, true, true).await
        }));
    }

    fn stream_headers(&self) -> HeaderMap {
        AttemptHeaders {
            request_id: &self.sent_as,
            account: &self.cx.account,
            priority: self.cx.priority,
            left: self.plan.deadline.since(self.cx.clock.now()),
        }
        .to_map()
    }

    /// Tells the engine to stop; closing the connection alone leaves a resumable stream running.
    fn cancel(&self) {
        let (Some(routed), Some(stream)) = (&self.routed, &self.stream) else {
            return;
        };
        let target = format!("/v1/streams/{stream}");
        let address = routed.address;
        let headers = self.stream_headers();
        let connections = Rc::clone(&self.cx.connections);
        actix_rt::spawn(async move {
            let cancel = connections.send(
                true,
                address,
                Method::DELETE,
                &target,
                headers,
                Bytes::new(),
            );
            // Best effort: an engine that doesn't hear it finishes the answer for nobody.
            drop(tokio::time::timeout(CANCEL_TIMEOUT, cancel).await);
        });
    }

    fn deliver(&mut self) {
        let Some(chunk) = self.chunk.take() else {
            return;
        };
        self.note_pace();
        let Outbound::Completion(req) = &self.outbound else {
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
        match &self.outbound {
            Outbound::Completion(req) if req.stream => {
                let limit = self.cx.clock.instant(self.plan.deadline);
                self.caller
                    .end(Bytes::from_static(b"data: [DONE]\n\n"), limit)
                    .await;
            }
            Outbound::Completion(req) => {
                let assembly = std::mem::take(&mut self.assembly);
                let json = assembly.into_answer(req.kind, self.cx.name.as_str(), &self.cx.asked);
                self.caller.answer(Ok(whole_json(StatusCode::OK, &json)));
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

    /// An id that no other attempt has.
    fn attempt_id(&self) -> String {
        format!("{}-{}-{}", self.cx.origin, self.cx.request, self.attempt)
    }

    fn log(
        &self,
        result: &str,
        status: StatusCode,
    ) {
        let upstream = self.routed.as_ref().map_or(0, |routed| routed.upstream.0);
        Line::new("request")
            .with("request_id", &self.cx.name)
            .with("account", &self.cx.account)
            .with("class", self.cx.priority)
            .with("asked", &self.cx.asked)
            .with("result", result)
            .with("status", status.as_u16())
            .with("upstream", upstream)
            .with("attempts", self.attempt)
            .with("tokens", self.machine.offset())
            .with("ms", self.cx.arrived.elapsed().as_millis())
            .info();
    }
}

impl Doing {
    async fn next(&mut self) -> Happened {
        match self {
            Self::Nothing => std::future::pending().await,
            Self::Routing(rx) => Happened::Routed(Lease::route_of(rx.await)),
            Self::Heading(f) => Happened::Headed(f.await),
            Self::Reading(reading) => Happened::Read(reading.next().await),
            Self::Collecting(f) => Happened::Collected(f.await),
        }
    }
}

async fn headed(
    sent: Result<Sent, SendFailure>,
    expected: &Expected,
    is_engine: bool,
    resuming: bool,
) -> Headed {
    let mut response = match sent {
        Ok(response) => Box::new(response),
        Err(failure) => return Headed::Failed(failure),
    };
    let (head, stream) = if is_engine {
        engine_head(&mut response, expected, resuming).await
    } else {
        (service_head(&response, expected), None)
    };
    Headed::Answered {
        head,
        stream,
        response,
    }
}

fn whole_json(
    status: StatusCode,
    json: &serde_json::Value,
) -> WholeAnswer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    WholeAnswer {
        status,
        headers,
        body: Bytes::from(json.to_string()),
    }
}
