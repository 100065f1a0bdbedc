use {
    super::{ForwardRequest, encode::encode_request, successor::Successor},
    crate::{
        context::Context,
        http1::ResponseHead,
        links::{LinksLost, NotRelayed, RelayTarget, read_not_relayed, take_relayed_mark},
        scheduling::Placement,
        upstream::{Connection, ExchangeError, ResponseStart, answers_request},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        forward::{AttemptEnd, Repeat},
        reachability::LinkStatus,
        scheduler::Outcome,
    },
    jasmine_platform::headers::{ResponseHeaders, is_misdirected},
    jasmine_telemetry::log::Line,
    std::{cell::RefCell, io, net::SocketAddr, pin::pin, time::Duration},
    tokio::time::{Instant, sleep, timeout, timeout_at},
};

/// The largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Longest idle time of a connection for a request that can't be repeated.
///
/// The upstream may close a connection that was idle for longer while the request is on its way.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Millis = Millis(1_000);
/// Longest idle time of a connection for a request that can be repeated.
const IDEMPOTENT_IDLE_TIMEOUT: Millis = Millis(60_000);
/// Silence after which another upstream is sought for a call that may be repeated, as a multiple of its latency objective.
const CALL_PATIENCE_OBJECTIVES: u64 = 2;
/// Silence after which another upstream is sought for the head of a stream that may be repeated, in percent of its latency objective.
const STREAM_PATIENCE_PERCENT: u64 = 150;

/// How long the rest of a response is read that says that the request has not run.
const NOT_RUN_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// How an attempt began.
pub(super) enum Start {
    /// A response for the caller has begun.
    Responding(StartedResponse),
    /// The attempt failed before that.
    Failed(Failure),
    /// Nothing was sent, nor should it be.
    Refused(ErrorKind),
}

/// A response that has begun.
pub(super) struct StartedResponse {
    pub connection: Connection,
    pub head: ResponseHead,
    /// Whether the whole request was sent, so that the connection can be reused.
    pub is_request_sent: bool,
    /// The other end of the connection.
    pub address: SocketAddr,
    pub via: Via,
}

/// The way of an attempt to its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Via {
    /// A connection of this VM to the upstream.
    OwnLinks,
    /// A connection to another VM, which sends the request on.
    OtherVm,
}

/// The answer of another VM to which a request was offered.
enum Offer {
    /// It has sent the request, or the attempt has failed.
    Started(Start),
    /// It sends nothing; others may.
    NotRelayed,
}

/// An age in milliseconds for the log; `-` if it isn't known.
fn age_text(age: Option<Millis>) -> String {
    age.map_or_else(|| "-".to_owned(), |age| age.to_string())
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub outcome: Outcome,
    pub end: AttemptEnd,
    /// Whether the response broke off, or its connection did.
    pub is_broken: bool,
    /// The upstream's error response, forwarded if no attempt succeeds.
    pub response: Option<(ResponseHead, Bytes)>,
}

impl Failure {
    pub(super) const fn not_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::NotRun,
            is_broken: false,
            response: None,
        }
    }

    pub(super) const fn may_have_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::MayHaveRun,
            is_broken: false,
            response: None,
        }
    }

    pub(super) const fn broken(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::MayHaveRun,
            is_broken: true,
            response: None,
        }
    }
}

/// One attempt of a request at one upstream.
pub(super) struct AttemptContext<'a> {
    pub cx: &'a Context,
    pub req: &'a ForwardRequest,
    pub placement: &'a Placement,
    pub successor: &'a Successor,
    /// VMs to which the request has been offered.
    pub tried_relays: &'a RefCell<Vec<SocketAddr>>,
}

impl AttemptContext<'_> {
    /// Records that the answer has begun, and whether that was on an older version of its adapter than the newest that
    /// this VM knows.
    pub(super) fn note_begun(&self) {
        self.placement.note_begun();
        let used = self.placement.version;
        let newest = self.req.newest_version(&self.cx.scheduling.local_scheduler);
        let Some(newest) =
            newest.filter(|newest| used.is_none_or(|used| used < newest.limit.version))
        else {
            return;
        };
        let now = self.cx.clock.now();
        let absent_for = newest.absent_at.map(|absent_at| now.since(absent_at));
        Line::new("older_version_begun")
            .with("id", self.req.caller.request_id.as_deref().unwrap_or("-"))
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("upstream", &self.placement.upstream)
            .with("version", used.unwrap_or_default())
            .with("newest", newest.limit.version)
            .with("absent_ms", age_text(absent_for))
            .info();
        if let Some(absent_for) = absent_for {
            self.cx.metrics.record_older_version(self.req, absent_for);
        }
    }

    /// Sends the request and reads the head of its response.
    pub(super) async fn start(
        &self,
        after_event: Option<u64>,
    ) -> Start {
        let now = self.cx.clock.now();
        let bytes = encode_request(self.req, self.placement, after_event, now);
        if self.cx.links.is_lost() {
            return self.start_relayed(&bytes).await;
        }
        match self.connect().await {
            Ok(connection) => self.start_directly(connection, &bytes).await,
            Err(LinkStatus::Lost) => self.start_relayed(&bytes).await,
            Err(_) => Start::Failed(Failure::not_run(Outcome::Unreachable)),
        }
    }

    async fn start_directly(
        &self,
        mut connection: Connection,
        bytes: &[u8],
    ) -> Start {
        let exchange = self.exchange(&mut connection, bytes);
        let exchanged = self
            .attend(Via::OwnLinks, exchange, self.head_patience())
            .await;
        match exchanged {
            Err(failure) => {
                self.cx.pool.close_idle(self.placement.address);
                Start::Failed(failure)
            }
            Ok(Err(e)) => Start::Failed(self.broken(Via::OwnLinks, e).await),
            Ok(Ok(ResponseStart {
                head,
                is_request_sent,
            })) => {
                self.cx.links.note_heard();
                let response = StartedResponse {
                    connection,
                    head,
                    is_request_sent,
                    address: self.placement.address,
                    via: Via::OwnLinks,
                };
                self.classify(response).await
            }
        }
    }

    /// Sends the request through another VM, as this one reaches no upstream.
    async fn start_relayed(
        &self,
        bytes: &[u8],
    ) -> Start {
        let target = RelayTarget {
            upstream: &self.placement.upstream,
            build: self.placement.build.as_deref(),
        };
        let bytes = target.add_to(bytes);
        let mut relays = self.cx.links.relays(&self.req.allowed_data_centres);
        relays.sort_by_key(|address| self.tried_relays.borrow().contains(address));
        for address in relays {
            self.tried_relays.borrow_mut().push(address);
            match self.offer(address, &bytes).await {
                Offer::Started(start) => return start,
                Offer::NotRelayed => self.cx.links.note_relay(address, false),
            }
        }
        Start::Failed(Failure::not_run(Outcome::Abandoned))
    }

    /// Offers the request to another VM.
    async fn offer(
        &self,
        address: SocketAddr,
        bytes: &[u8],
    ) -> Offer {
        let links = &self.cx.links;
        let connection = match links.relay_pool.reuse(address, self.max_idle()) {
            Some(connection) => Ok(connection),
            None => links.relay_pool.open(address).await,
        };
        let Ok(mut connection) = connection else {
            return Offer::NotRelayed;
        };
        let exchange = self.exchange(&mut connection, bytes);
        let exchanged = self
            .attend(Via::OtherVm, exchange, self.head_patience())
            .await;
        let mut response_start = match exchanged {
            // Either may be due to the upstream, so that other requests can still go through that VM.
            Err(failure) => return Offer::Started(Start::Failed(failure)),
            Ok(Err(e)) => return Offer::Started(Start::Failed(self.broken(Via::OtherVm, e).await)),
            Ok(Ok(response_start)) => response_start,
        };
        let is_relayed = take_relayed_mark(&mut response_start.head);
        let reason = read_not_relayed(&response_start.head);
        Line::new("request_relayed")
            .with("id", self.req.caller.request_id.as_deref().unwrap_or("-"))
            .with("upstream", &self.placement.upstream)
            .with("through", address)
            .with("end", if is_relayed { "sent" } else { reason.as_str() })
            .info();
        let ResponseStart {
            head,
            is_request_sent,
        } = response_start;
        let response = StartedResponse {
            connection,
            head,
            is_request_sent,
            address,
            via: Via::OtherVm,
        };
        if is_relayed {
            self.cx.metrics.count_relayed("by_others");
            links.note_relay(address, true);
            return Offer::Started(self.classify(response).await);
        }
        self.release(response);
        match reason {
            NotRelayed::NoLinks => Offer::NotRelayed,
            NotRelayed::Unusable => {
                Offer::Started(Start::Failed(Failure::not_run(Outcome::Abandoned)))
            }
            NotRelayed::Quarantined => Offer::Started(Start::Refused(ErrorKind::PromptQuarantined)),
            NotRelayed::Unreachable => {
                Offer::Started(Start::Failed(Failure::not_run(Outcome::Unreachable)))
            }
        }
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        bytes: &[u8],
    ) -> Result<ResponseStart, ExchangeError> {
        let id = self.req.caller.request_id.as_deref();
        let method = &self.req.incoming.head.method;
        connection
            .send_request(bytes, method, |head| answers_request(head, id))
            .await
    }

    /// Waits for a response; once it is overdue after `patience`, also for an upstream that can take the request over.
    ///
    /// A sound upstream may be silent for a while, so that it is given up only for another one, or at the deadline.
    pub(super) async fn attend<F>(
        &self,
        via: Via,
        response: F,
        patience: Duration,
    ) -> Result<F::Output, Failure>
    where
        F: Future,
    {
        let mut response = pin!(response);
        let links = &self.cx.links;
        let due = Instant::now() + patience;
        loop {
            let watched = async {
                match via {
                    Via::OwnLinks => links.attend(response.as_mut(), self.can_abort(via)).await,
                    Via::OtherVm => Ok(response.as_mut().await),
                }
            };
            let is_lost = match timeout_at(due, watched).await {
                Ok(Ok(output)) => return Ok(output),
                Ok(Err(LinksLost)) => true,
                Err(_elapsed) => false,
            };
            let succeeded = async {
                let failure = self.overdue(via).await;
                self.successor.find().await;
                failure
            };
            tokio::select! {
                biased;
                output = response.as_mut() => {
                    self.successor.discard();
                    return Ok(output);
                }
                () = sleep(self.time_left()) => return Err(self.expired(via)),
                () = links.restored(), if is_lost => {}
                failure = succeeded, if self.successor.is_allowed() => return Err(failure),
            }
        }
    }

    /// The failure of an attempt whose deadline has passed, as [`Self::overdue`] without a wait for a test of the links.
    fn expired(
        &self,
        via: Via,
    ) -> Failure {
        let outcome = match (via, self.cx.links.status()) {
            (Via::OwnLinks, LinkStatus::Up) => Outcome::Silent,
            _ => Outcome::Abandoned,
        };
        Failure::may_have_run(outcome)
    }

    /// The failure of an attempt whose response is overdue.
    ///
    /// It says nothing about the upstream if another VM, or the links of this one, may have failed.
    async fn overdue(
        &self,
        via: Via,
    ) -> Failure {
        let outcome = match via {
            Via::OwnLinks if self.cx.links.after_silence().await != LinkStatus::Lost => {
                Outcome::Silent
            }
            Via::OwnLinks | Via::OtherVm => Outcome::Abandoned,
        };
        Failure::may_have_run(outcome)
    }

    /// The failure of an attempt whose connection broke or whose response is invalid, as [`Self::overdue`].
    pub(super) async fn broken(
        &self,
        via: Via,
        e: ExchangeError,
    ) -> Failure {
        let outcome = match (via, e) {
            (_, ExchangeError::Invalid) => Outcome::Lost,
            (Via::OwnLinks, ExchangeError::Lost)
                if self.status_after_failure().await != LinkStatus::Lost =>
            {
                Outcome::Lost
            }
            (Via::OwnLinks | Via::OtherVm, ExchangeError::Lost) => Outcome::Abandoned,
        };
        Failure::broken(outcome)
    }

    /// The status of the links after a failed connection, once they have been tested or the deadline has passed.
    async fn status_after_failure(&self) -> LinkStatus {
        let links = &self.cx.links;
        let tested = timeout(self.time_left(), links.after_failure()).await;
        tested.unwrap_or_else(|_elapsed| links.status())
    }

    /// Reads the rest of a response into memory.
    pub(super) async fn read_whole(
        &self,
        mut response: StartedResponse,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let via = response.via;
        let StartedResponse {
            connection, head, ..
        } = &mut response;
        let body = connection.read_whole_body(head, MAX_RESPONSE_BYTES);
        let body = match self.attend(via, body, self.time_left()).await? {
            Err(e) => return Err(self.broken(via, e).await),
            Ok(body) => body,
        };
        let head = response.head.clone();
        self.release(response);
        Ok((head, body))
    }

    /// Returns the connection to the pool after a complete exchange.
    pub(super) fn release(
        &self,
        response: StartedResponse,
    ) {
        let StartedResponse {
            connection,
            head,
            is_request_sent,
            address,
            via,
        } = response;
        let pool = match via {
            Via::OwnLinks => &self.cx.pool,
            Via::OtherVm => &self.cx.links.relay_pool,
        };
        // An upstream that answered early still expects the rest of the body on this connection.
        if is_request_sent {
            pool.release(address, connection, &head);
        }
    }

    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.req.deadline.since(self.cx.clock.now()).to_std()
    }

    /// Silence before the head of a response after which another upstream is sought: the deadline for requests that can't be repeated.
    fn head_patience(&self) -> Duration {
        let objective = self.req.route.objective;
        let patience = match (self.req.route.kind.repeat(), self.req.is_stream()) {
            (Repeat::Once, _) => return self.time_left(),
            (Repeat::Idempotent, false) => Millis(objective.0 * CALL_PATIENCE_OBJECTIVES),
            (Repeat::Idempotent, true) => Millis(objective.0 * STREAM_PATIENCE_PERCENT / 100),
        };
        self.time_left().min(patience.to_std())
    }

    /// Whether the attempt may be given up for one through another VM once this VM's links are lost.
    fn can_abort(
        &self,
        via: Via,
    ) -> bool {
        via == Via::OwnLinks && self.req.route.kind.repeat() == Repeat::Idempotent
    }

    /// Longest idle time of a connection for this request.
    fn max_idle(&self) -> Millis {
        match self.req.route.kind.repeat() {
            Repeat::Once => NON_IDEMPOTENT_IDLE_TIMEOUT,
            Repeat::Idempotent => IDEMPOTENT_IDLE_TIMEOUT,
        }
    }

    /// Connects to the upstream; if that fails, returns the status of this VM's links.
    async fn connect(&self) -> Result<Connection, LinkStatus> {
        let address = self.placement.address;
        if let Some(connection) = self.cx.pool.reuse(address, self.max_idle()) {
            return Ok(connection);
        }
        let opened = timeout(self.time_left(), self.cx.pool.open(address)).await;
        match opened.unwrap_or_else(|_elapsed| Err(io::ErrorKind::TimedOut.into())) {
            Ok(connection) => Ok(connection),
            Err(e) => {
                Line::new("connect_failed")
                    .with("upstream", &self.placement.upstream)
                    .with("reason", e)
                    .info();
                Err(self.status_after_failure().await)
            }
        }
    }

    /// The outcome if the upstream states that it didn't run the request.
    fn not_run_outcome(
        &self,
        status: u16,
        headers: &ResponseHeaders,
    ) -> Option<Outcome> {
        let responder = headers.upstream.as_ref();
        let is_other = responder.is_some_and(|id| *id != self.placement.upstream);
        match (is_misdirected(status), is_other) {
            (true, false) if self.req.is_generation => Some(Outcome::NotLoaded),
            (true, _) => Some(Outcome::OtherUpstream),
            (false, _) if headers.is_not_executed => Some(Outcome::Shed),
            (false, _) => None,
        }
    }

    /// Separates responses for the caller from failures of the attempt.
    async fn classify(
        &self,
        response: StartedResponse,
    ) -> Start {
        let status = response.head.status;
        let response_headers = ResponseHeaders::read(status, response.head.headers.pairs());
        let not_run = self.not_run_outcome(status, &response_headers);
        // What another upstream at this address states says nothing about this one.
        if not_run != Some(Outcome::OtherUpstream) {
            self.placement.note_signals(&response_headers.signals);
        }
        if let Some(outcome) = not_run {
            // The body is read only so that the connection can be reused.
            let _either = timeout(NOT_RUN_BODY_TIMEOUT, self.read_whole(response)).await;
            return Start::Failed(Failure::not_run(outcome));
        }
        let has_content_coding = response
            .head
            .headers
            .all("content-encoding")
            .next()
            .is_some();
        match status {
            // Without a seal or with a content coding it isn't the service's own response.
            200..=299 if !response_headers.is_sealed || has_content_coding => {
                Start::Failed(Failure::may_have_run(Outcome::Lost))
            }
            500..=599 => match self.read_whole(response).await {
                Err(failure) => Start::Failed(failure),
                Ok(response) => Start::Failed(Failure {
                    outcome: Outcome::Failed,
                    end: AttemptEnd::MayHaveRun,
                    is_broken: false,
                    response: Some(response),
                }),
            },
            _ => Start::Responding(response),
        }
    }
}
