use {
    super::{ForwardRequest, encode::encode_request},
    crate::{
        context::Context,
        http1::ResponseHead,
        scheduling::Placement,
        upstream::{Connection, ExchangeError},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        forward::{AttemptEnd, Repeat},
        scheduler::Outcome,
    },
    jasmine_platform::headers::{ResponseHeaders, is_misdirected},
    jasmine_telemetry::log::Line,
    std::{io::ErrorKind, time::Duration},
    tokio::time::timeout,
};

/// The largest response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Longest idle time of a connection for a request that can't be repeated.
///
/// The upstream may close a connection that was idle for longer while the request is on its way.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Millis = Millis(1_000);
/// Longest idle time of a connection for a request that can be repeated.
const IDEMPOTENT_IDLE_TIMEOUT: Millis = Millis(60_000);
/// Timeout of a call that may be repeated, as a multiple of its latency objective.
const CALL_TIMEOUT_OBJECTIVES: u64 = 2;
/// Timeout for the head of a stream that may be repeated, in percent of its latency objective.
const STREAM_TIMEOUT_PERCENT: u64 = 150;

/// How an attempt began.
pub(super) enum Start {
    /// A response for the caller has begun.
    Responding(StartedResponse),
    /// The attempt failed before that.
    Failed(Failure),
}

/// A response that has begun.
pub(super) struct StartedResponse {
    pub connection: Connection,
    pub head: ResponseHead,
    /// Whether the whole request was sent, so that the connection can be reused.
    pub is_request_sent: bool,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub outcome: Outcome,
    pub end: AttemptEnd,
    /// The upstream's error response, forwarded if no attempt succeeds.
    pub response: Option<(ResponseHead, Bytes)>,
}

impl Failure {
    pub(super) const fn not_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::NotRun,
            response: None,
        }
    }

    pub(super) const fn may_have_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::MayHaveRun,
            response: None,
        }
    }
}

impl From<ExchangeError> for Failure {
    fn from(_: ExchangeError) -> Self {
        Self::may_have_run(Outcome::Lost)
    }
}

/// One attempt of a request at one upstream.
pub(super) struct AttemptContext<'a> {
    pub cx: &'a Context,
    pub req: &'a ForwardRequest,
    pub placement: &'a Placement,
}

impl AttemptContext<'_> {
    /// Sends the request and reads the head of its response.
    pub(super) async fn start(
        &self,
        after_event: Option<u64>,
    ) -> Start {
        let Some(mut connection) = self.connect().await else {
            return Start::Failed(Failure::not_run(Outcome::Unreachable));
        };
        let now = self.cx.clock.now();
        let bytes = encode_request(self.req, self.placement, after_event, now);
        let id = self.req.caller.request_id.as_deref();
        let method = &self.req.incoming.head.method;
        let is_match = |head: &ResponseHead| {
            let answered_id = ResponseHeaders::read(head.status, head.headers.pairs()).request_id;
            answered_id.is_none() || answered_id.as_deref() == id
        };
        let response_start = timeout(
            self.head_timeout(),
            connection.send_request(&bytes, method, is_match),
        )
        .await;
        match response_start {
            Err(_elapsed) => {
                self.cx.pool.close_idle(self.placement.address);
                Start::Failed(Failure::may_have_run(Outcome::Silent))
            }
            Ok(Err(e)) => Start::Failed(e.into()),
            Ok(Ok(response_start)) => {
                let response = StartedResponse {
                    connection,
                    head: response_start.head,
                    is_request_sent: response_start.is_request_sent,
                };
                self.classify(response).await
            }
        }
    }

    /// Reads the rest of a response into memory.
    pub(super) async fn read_whole(
        &self,
        mut response: StartedResponse,
    ) -> Result<(ResponseHead, Bytes), Failure> {
        let StartedResponse {
            connection, head, ..
        } = &mut response;
        let body = timeout(
            self.time_left(),
            connection.read_whole_body(head, MAX_RESPONSE_BYTES),
        )
        .await;
        let body = match body {
            Err(_elapsed) => return Err(Failure::may_have_run(Outcome::Silent)),
            Ok(body) => body?,
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
        } = response;
        // An upstream that answered early still expects the rest of the body on this connection.
        if is_request_sent {
            self.cx
                .pool
                .release(self.placement.address, connection, &head);
        }
    }

    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.req.deadline.since(self.cx.clock.now()).to_std()
    }

    /// Timeout for the head of a response: the deadline for requests that can't be repeated.
    fn head_timeout(&self) -> Duration {
        let objective = self.req.route.objective;
        let head_timeout = match (self.req.route.kind.repeat(), self.req.is_stream()) {
            (Repeat::Once, _) => return self.time_left(),
            (Repeat::Idempotent, false) => Millis(objective.0 * CALL_TIMEOUT_OBJECTIVES),
            (Repeat::Idempotent, true) => Millis(objective.0 * STREAM_TIMEOUT_PERCENT / 100),
        };
        self.time_left().min(head_timeout.to_std())
    }

    async fn connect(&self) -> Option<Connection> {
        let max_idle = match self.req.route.kind.repeat() {
            Repeat::Once => NON_IDEMPOTENT_IDLE_TIMEOUT,
            Repeat::Idempotent => IDEMPOTENT_IDLE_TIMEOUT,
        };
        let address = self.placement.address;
        if let Some(connection) = self.cx.pool.reuse(address, max_idle) {
            return Some(connection);
        }
        let opened = timeout(self.time_left(), self.cx.pool.open(address)).await;
        opened
            .unwrap_or_else(|_elapsed| Err(ErrorKind::TimedOut.into()))
            .inspect_err(|e| {
                Line::new("connect_failed")
                    .with("upstream", &self.placement.upstream)
                    .with("reason", e)
                    .info();
            })
            .ok()
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
            drop(self.read_whole(response).await);
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
                    response: Some(response),
                }),
            },
            _ => Start::Responding(response),
        }
    }
}
