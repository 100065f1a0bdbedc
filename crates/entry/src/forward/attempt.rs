use {
    super::{ForwardRequest, encode::encode_request},
    crate::{
        context::Context,
        http1::AnswerHead,
        scheduling::Placement,
        upstream::{Connection, ExchangeError},
    },
    bytes::Bytes,
    jasmine_core::{
        clock::Millis,
        forward::{AttemptEnd, Repeat},
        scheduler::Outcome,
    },
    jasmine_platform::headers::{AnswerHeaders, is_other_upstream},
    jasmine_telemetry::log::Line,
    std::{io::ErrorKind, time::Duration},
    tokio::time::timeout,
};

/// The largest answer that is buffered, in bytes.
const MAX_ANSWER: usize = 16 << 20;
/// Longest idle time of a connection for a request that can't be repeated.
///
/// The upstream may close a connection that was idle for longer while the request is on its way.
const IDLE_FOR_ONCE: Millis = Millis(1_000);
/// Longest idle time of a connection for a request that can be repeated.
const IDLE: Millis = Millis(60_000);
/// Timeout of a call that may be repeated, as a multiple of its latency objective.
const CALL_PATIENCE: u64 = 2;
/// Timeout for the head of a stream that may be repeated, in percent of its latency objective.
const STREAM_PATIENCE_PERCENT: u64 = 150;

/// How an attempt began.
pub(super) enum Start {
    /// An answer for the caller has begun.
    Answering(Answering),
    /// The attempt failed before that.
    Ended(Failure),
}

/// An answer that has begun.
pub(super) struct Answering {
    pub connection: Connection,
    pub head: AnswerHead,
    /// Whether the whole request was sent, so that the connection can be reused.
    pub sent_all: bool,
}

/// A failed attempt.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub outcome: Outcome,
    pub end: AttemptEnd,
    /// The upstream's error answer, forwarded if no attempt succeeds.
    pub answer: Option<(AnswerHead, Bytes)>,
}

impl Failure {
    pub(super) const fn not_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::NotRun,
            answer: None,
        }
    }

    pub(super) const fn may_have_run(outcome: Outcome) -> Self {
        Self {
            outcome,
            end: AttemptEnd::MayHaveRun,
            answer: None,
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
    /// Sends the request and reads the head of its answer.
    pub(super) async fn start(
        &self,
        after_event: Option<u64>,
    ) -> Start {
        let Some(mut connection) = self.connect().await else {
            return Start::Ended(Failure::not_run(Outcome::Unreachable));
        };
        let now = self.cx.clock.now();
        let bytes = encode_request(self.req, self.placement, after_event, now);
        let id = self.req.caller.request_id.as_deref();
        let method = &self.req.incoming.head.method;
        let is_own = |head: &AnswerHead| {
            let said = AnswerHeaders::read(head.headers.pairs()).request_id;
            said.is_none() || said.as_deref() == id
        };
        let begun = timeout(self.patience(), connection.begin(&bytes, method, is_own)).await;
        match begun {
            Err(_elapsed) => {
                self.cx.pool.forget(self.placement.address);
                Start::Ended(Failure::may_have_run(Outcome::Silent))
            }
            Ok(Err(e)) => Start::Ended(e.into()),
            Ok(Ok(begun)) => {
                let answering = Answering {
                    connection,
                    head: begun.head,
                    sent_all: begun.sent_all,
                };
                self.sort(answering).await
            }
        }
    }

    /// Reads the rest of an answer into memory.
    pub(super) async fn whole(
        &self,
        mut answering: Answering,
    ) -> Result<(AnswerHead, Bytes), Failure> {
        let Answering {
            connection, head, ..
        } = &mut answering;
        let body = timeout(self.left(), connection.whole_body(head, MAX_ANSWER)).await;
        let body = match body {
            Err(_elapsed) => return Err(Failure::may_have_run(Outcome::Silent)),
            Ok(body) => body?,
        };
        let head = answering.head.clone();
        self.keep(answering);
        Ok((head, body))
    }

    /// Returns the connection to the pool after a complete exchange.
    pub(super) fn keep(
        &self,
        answering: Answering,
    ) {
        let Answering {
            connection,
            head,
            sent_all,
        } = answering;
        // An upstream that answered early still expects the rest of the body on this connection.
        if sent_all {
            self.cx.pool.keep(self.placement.address, connection, &head);
        }
    }

    /// Time left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.req.deadline.since(self.cx.clock.now()).to_std()
    }

    /// Timeout for the head of an answer: the deadline for requests that can't be repeated.
    fn patience(&self) -> Duration {
        let objective = self.req.route.objective;
        let patience = match (self.req.route.kind.repeat(), self.req.is_stream()) {
            (Repeat::Once, _) => return self.left(),
            (Repeat::Idempotent, false) => Millis(objective.0 * CALL_PATIENCE),
            (Repeat::Idempotent, true) => Millis(objective.0 * STREAM_PATIENCE_PERCENT / 100),
        };
        self.left().min(patience.to_std())
    }

    async fn connect(&self) -> Option<Connection> {
        let longest = match self.req.route.kind.repeat() {
            Repeat::Once => IDLE_FOR_ONCE,
            Repeat::Idempotent => IDLE,
        };
        let address = self.placement.address;
        if let Some(connection) = self.cx.pool.reuse(address, longest) {
            return Some(connection);
        }
        let opened = timeout(self.left(), self.cx.pool.open(address)).await;
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

    /// Separates answers for the caller from failures of the attempt.
    async fn sort(
        &self,
        answering: Answering,
    ) -> Start {
        let status = answering.head.status;
        let said = AnswerHeaders::read(answering.head.headers.pairs());
        let is_elsewhere = is_other_upstream(status);
        if said.is_not_run || is_elsewhere {
            let is_other = said
                .upstream
                .is_some_and(|id| id != self.placement.upstream);
            let outcome = match (is_elsewhere, is_other) {
                (true, false) if self.req.is_generation => Outcome::NotLoaded,
                (true, _) => Outcome::OtherUpstream,
                (false, _) => Outcome::Shed,
            };
            // The body is read only so that the connection can be reused.
            drop(self.whole(answering).await);
            return Start::Ended(Failure::not_run(outcome));
        }
        let is_foreign = answering
            .head
            .headers
            .all("content-encoding")
            .next()
            .is_some();
        match status {
            // Without a seal or with a content coding it isn't the service's own answer.
            200..=299 if !said.is_sealed || is_foreign => {
                Start::Ended(Failure::may_have_run(Outcome::Lost))
            }
            500..=599 => match self.whole(answering).await {
                Err(failure) => Start::Ended(failure),
                Ok(answer) => Start::Ended(Failure {
                    outcome: Outcome::Failed,
                    end: AttemptEnd::MayHaveRun,
                    answer: Some(answer),
                }),
            },
            _ => Start::Answering(answering),
        }
    }
}
