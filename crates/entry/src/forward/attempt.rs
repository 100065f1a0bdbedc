use {
    super::{
        ForwardRequest, encode::encode_request, failure::Failure, response_trace::ResponseTrace,
    },
    crate::{
        context::Context,
        exchange_bytes::ByteHold,
        http1::{ResponseHead, StatusClass},
        links::{NotRelayed, RelayTarget, is_broken_answer, read_not_relayed, take_relayed_mark},
        scheduling::Placement,
        upstream::{Awaited, Connection, ExchangeError, RequestTag, ResponseStart},
    },
    bytes::Bytes,
    futures::future::join,
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        forward::Repeat,
        load_reports::HeardLoad,
        reachability::LinkStatus,
        scheduler::{Outcome, UpstreamSignals},
    },
    jasmine_platform::headers::{ResponseHeaders, is_misdirected},
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        io,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// The largest response that is buffered, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Longest idle time of a connection for a request that can't be repeated.
///
/// The upstream may close a connection that was idle for longer while the request is on its way.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Millis = Millis(1_000);
/// Longest idle time of a connection for a request that can be repeated.
const IDEMPOTENT_IDLE_TIMEOUT: Millis = Millis(60_000);
/// How long the rest of a response is read that says that the request has not run.
const NOT_RUN_BODY_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the body of an error response is read before the request is sent to another upstream.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// How an attempt began.
pub(super) enum Start {
    /// A response for the caller has begun.
    Responding(Box<StartedResponse>),
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
    Started(Box<Start>),
    /// It sends nothing; others may.
    NotRelayed,
}

impl Offer {
    fn started(start: Start) -> Self {
        Self::Started(Box::new(start))
    }
}

/// An age in milliseconds for the log; `-` if it isn't known.
pub(super) fn age_text(age: Option<Millis>) -> String {
    age.map_or_else(|| "-".to_owned(), |age| age.to_string())
}

/// One attempt of a request at one upstream.
pub(super) struct AttemptContext {
    pub cx: Rc<Context>,
    pub req: Rc<ForwardRequest>,
    pub placement: Rc<Placement>,
    pub trace: Rc<Cell<ResponseTrace>>,
    /// VMs to which the request has been offered.
    pub tried_relays: Rc<RefCell<Vec<SocketAddr>>>,
    /// Whether another attempt may follow one that has run.
    pub can_retry: bool,
    /// Whether some attempt in flight couldn't go on after the first events of another one.
    pub is_contested: Rc<Cell<bool>>,
}

impl AttemptContext {
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
            self.cx.metrics.record_older_version(&self.req, absent_for);
        }
    }

    /// Sends the request and reads the head of its response.
    pub(super) async fn start(
        &self,
        after_event: Option<u64>,
    ) -> Start {
        let now = self.cx.clock.now();
        let (bytes, body) = encode_request(&self.req, &self.placement, after_event, now);
        if self.cx.links.is_lost() {
            return self.start_relayed(&bytes, &body).await;
        }
        match self.connect().await {
            Ok(connection) => self.start_directly(connection, &bytes, &body).await,
            Err(LinkStatus::Lost) => self.start_relayed(&bytes, &body).await,
            Err(_) => Start::Failed(Failure::not_run(Outcome::Unreachable)),
        }
    }

    async fn start_directly(
        &self,
        mut connection: Connection,
        bytes: &[u8],
        body: &[u8],
    ) -> Start {
        self.placement.set_sent(true);
        match self
            .exchange(&mut connection, bytes, body, Awaited::Request(self.tag()))
            .await
        {
            Err(e) => Start::Failed(self.broken(Via::OwnLinks, e).await),
            Ok(ResponseStart {
                head,
                is_request_sent,
            }) => {
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
        body: &[u8],
    ) -> Start {
        self.update_trace(|trace| trace.via = Via::OtherVm);
        let target = RelayTarget {
            upstream: &self.placement.upstream,
            build: self.placement.build.as_deref(),
            fingerprint: self.req.fingerprint,
        };
        let bytes = target.add_to(bytes);
        let mut relays = self.cx.links.relays(&self.req.allowed_data_centres);
        relays.sort_by_key(|address| self.tried_relays.borrow().contains(address));
        for address in relays {
            self.tried_relays.borrow_mut().push(address);
            match self.offer(address, &bytes, body).await {
                Offer::Started(start) => return *start,
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
        body: &[u8],
    ) -> Offer {
        let links = &self.cx.links;
        let connection = match links.relay_pool.reuse(address, self.max_idle(), None) {
            Some(connection) => Ok(connection),
            None => links.relay_pool.open(address).await,
        };
        let Ok(mut connection) = connection else {
            return Offer::NotRelayed;
        };
        let awaited = Awaited::FromVm(self.tag());
        self.placement.set_sent(true);
        let exchanged = self.exchange(&mut connection, bytes, body, awaited).await;
        let mut response_start = match exchanged {
            // This may be due to the upstream, so that other requests can still go through that VM.
            Err(e) => return Offer::started(Start::Failed(self.broken(Via::OtherVm, e).await)),
            Ok(response_start) => response_start,
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
            if is_broken_answer(&response.head) {
                self.release(response);
                let failure = Failure::may_have_run(Outcome::Lost);
                return Offer::started(Start::Failed(failure));
            }
            return Offer::started(self.classify(response).await);
        }
        self.release(response);
        self.placement.set_sent(false);
        match reason {
            NotRelayed::NoLinks => Offer::NotRelayed,
            NotRelayed::Unusable => {
                Offer::started(Start::Failed(Failure::not_run(Outcome::Abandoned)))
            }
            NotRelayed::Quarantined => {
                Offer::started(Start::Refused(ErrorKind::RequestQuarantined))
            }
            NotRelayed::Unreachable => {
                Offer::started(Start::Failed(Failure::not_run(Outcome::Unreachable)))
            }
        }
    }

    async fn exchange(
        &self,
        connection: &mut Connection,
        bytes: &[u8],
        body: &[u8],
        awaited: Awaited<'_>,
    ) -> Result<ResponseStart, ExchangeError> {
        let method = &self.req.incoming.head.method;
        connection.send_parts(bytes, body, method, awaited).await
    }

    fn tag(&self) -> RequestTag<'_> {
        RequestTag {
            id: self.req.caller.request_id.as_deref(),
            repeatable_until: self.req.deadline,
        }
    }

    /// Changes what is recorded of the response.
    pub(super) fn update_trace<F>(
        &self,
        change: F,
    ) where
        F: FnOnce(&mut ResponseTrace),
    {
        let mut trace = self.trace.get();
        change(&mut trace);
        self.trace.set(trace);
    }

    /// The failure of an attempt whose connection broke or whose response is invalid.
    ///
    /// It says nothing about the upstream if another VM, or the links of this one, may have failed. Bytes that are no
    /// answer are the upstream's fault, and no crash under its prompt.
    pub(super) async fn broken(
        &self,
        via: Via,
        e: ExchangeError,
    ) -> Failure {
        match (via, e) {
            (_, ExchangeError::Invalid) => Failure::may_have_run(Outcome::Lost),
            (Via::OtherVm, ExchangeError::Lost) => Failure::broken(Outcome::Abandoned, true),
            (Via::OwnLinks, ExchangeError::Lost) => {
                let (links, has_ended) =
                    join(self.status_after_failure(), self.has_upstream_ended(via)).await;
                let outcome = match links {
                    LinkStatus::Lost => Outcome::Abandoned,
                    _ => Outcome::Lost,
                };
                Failure::broken(outcome, has_ended)
            }
        }
    }

    /// Whether the upstream has ended, after its connection broke: its machine refuses connections.
    ///
    /// One behind another VM can't be asked: what it sends later tells that it goes on.
    pub(super) async fn has_upstream_ended(
        &self,
        via: Via,
    ) -> bool {
        match via {
            Via::OwnLinks => self.cx.pool.is_refused(self.placement.address).await,
            Via::OtherVm => true,
        }
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
        hold: Option<ByteHold>,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let via = response.via;
        let StartedResponse {
            connection, head, ..
        } = &mut response;
        let body = match &hold {
            Some(_) => connection.read_held_body(head).await,
            None => connection.read_whole_body(head, MAX_RESPONSE_BYTES).await,
        };
        let body = match body {
            Err(e) => return Err(self.broken(via, e).await),
            Ok(body) => body,
        };
        let body = match hold {
            Some(hold) => hold.attach(body),
            None => body,
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
        let pool = &self.cx.pool;
        if let Some(connection) = pool.reuse(address, self.max_idle(), Some(self.tag())) {
            self.update_trace(|trace| trace.is_connection_reused = !connection.is_unused());
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

    /// Records what the upstream states with a response.
    fn note_signals(
        &self,
        headers: &ResponseHeaders,
    ) {
        let heard_at = self.cx.clock.now();
        let load = headers.load.map(|report| HeardLoad { report, heard_at });
        let signals = UpstreamSignals {
            load,
            ..headers.signals
        };
        self.placement.note_signals(&signals);
        if headers.is_load_implausible {
            self.placement.note_implausible_report();
        }
    }

    /// Separates responses for the caller from failures of the attempt.
    async fn classify(
        &self,
        response: StartedResponse,
    ) -> Start {
        let status = response.head.status;
        let response_headers = ResponseHeaders::read(status.code(), response.head.headers.pairs());
        let not_run = self.not_run_outcome(status.code(), &response_headers);
        // What another upstream at this address states says nothing about this one.
        if not_run != Some(Outcome::OtherUpstream) {
            self.note_signals(&response_headers);
        }
        if let Some(outcome) = not_run {
            // The body is read only so that the connection can be reused.
            let _either = timeout(NOT_RUN_BODY_TIMEOUT, self.read_error(response)).await;
            return Start::Failed(Failure::not_run(outcome));
        }
        let has_content_coding = response
            .head
            .headers
            .all("content-encoding")
            .next()
            .is_some();
        match status.class() {
            // Without a seal or with a content coding it isn't the service's own response.
            StatusClass::Success if !response_headers.is_sealed || has_content_coding => {
                Start::Failed(Failure::may_have_run(Outcome::Lost))
            }
            StatusClass::ServerError => {
                let patience = if self.can_retry {
                    FAILURE_BODY_TIMEOUT.min(self.time_left())
                } else {
                    self.time_left()
                };
                let response = timeout(patience, self.read_error(response)).await;
                Start::Failed(Failure {
                    response: response.ok().and_then(Result::ok).map(Box::new),
                    ..Failure::may_have_run(Outcome::Failed)
                })
            }
            StatusClass::Success | StatusClass::Redirection | StatusClass::ClientError => {
                Start::Responding(Box::new(response))
            }
            // `ResponseHeadReader` skips interim responses.
            StatusClass::Interim => Start::Failed(Failure::may_have_run(Outcome::Lost)),
        }
    }
}
