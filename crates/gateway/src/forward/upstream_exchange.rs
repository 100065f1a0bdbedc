use {
    super::{
        BufferedAnswer, ForwardContext, Outbound,
        outbound::AttemptHeaders,
        upstream_response::{
            Expected, StreamItem, StreamReader, engine_head, read_service_answer, service_head,
        },
    },
    crate::{
        brain::{Lease, Routed},
        request::Problem,
        upstream::{SendFailure, UpstreamResponse},
    },
    actix_web::http::{Method, header::HeaderMap},
    bytes::Bytes,
    futures::future::LocalBoxFuture,
    jasmine_core::{
        clock::Millis,
        error::Refusal,
        forward::{Attempt, Head},
    },
    std::{rc::Rc, time::Duration},
    tokio::sync::oneshot,
};

/// How long an upstream may take to acknowledge that it stops.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a request waits for.
enum ExchangeState {
    Idle,
    Routing(oneshot::Receiver<Result<Routed, Refusal>>),
    AwaitingHead(LocalBoxFuture<'static, HeadResult>),
    ReadingStream(Box<StreamReader>),
    ReadingBody(LocalBoxFuture<'static, Option<BufferedAnswer>>),
}

/// What came of sending.
pub(super) enum HeadResult {
    /// No answer began.
    Failed(SendFailure),
    /// An answer began.
    Answered {
        /// What its head says.
        head: Head,
        /// The name under which the engine knows it.
        stream_name: Option<String>,
        /// The rest of it.
        response: Box<UpstreamResponse>,
    },
}

/// What came from the brain or the upstream.
pub(super) enum UpstreamEvent {
    /// An upstream, or none.
    Routed(Result<Routed, Refusal>),
    /// The head of an answer, or none.
    HeadReceived(HeadResult),
    /// A part of a stream.
    StreamRead(StreamItem),
    /// The whole answer of a plain service, or none.
    BodyRead(Option<BufferedAnswer>),
}

/// The attempt under way: where it goes, under which name, and what is waited for.
pub(super) struct UpstreamExchange {
    pub(super) outbound: Outbound,
    pub(super) attempt: Attempt,
    pub(super) routed: Option<Routed>,
    deadline: Millis,
    state: ExchangeState,
    /// The id under which the upstream knows the request, also when its stream is resumed.
    upstream_request_id: String,
    stream_name: Option<String>,
}

impl UpstreamExchange {
    /// Waits for the route of the first attempt.
    pub(super) const fn new(
        outbound: Outbound,
        deadline: Millis,
        routing: oneshot::Receiver<Result<Routed, Refusal>>,
    ) -> Self {
        Self {
            outbound,
            attempt: Attempt(1),
            routed: None,
            deadline,
            state: ExchangeState::Routing(routing),
            upstream_request_id: String::new(),
            stream_name: None,
        }
    }

    /// The next thing that comes; may be dropped and called again.
    pub(super) async fn next(&mut self) -> UpstreamEvent {
        match &mut self.state {
            ExchangeState::Idle => std::future::pending().await,
            ExchangeState::Routing(rx) => UpstreamEvent::Routed(Lease::route_of(rx.await)),
            ExchangeState::AwaitingHead(f) => UpstreamEvent::HeadReceived(f.await),
            ExchangeState::ReadingStream(reader) => UpstreamEvent::StreamRead(reader.next().await),
            ExchangeState::ReadingBody(f) => UpstreamEvent::BodyRead(f.await),
        }
    }

    /// Closes the connection and waits for nothing.
    pub(super) fn abandon(&mut self) {
        self.state = ExchangeState::Idle;
    }

    /// Waits for the route of another attempt.
    pub(super) fn route_again(
        &mut self,
        attempt: Attempt,
        routing: oneshot::Receiver<Result<Routed, Refusal>>,
    ) {
        self.attempt = attempt;
        self.stream_name = None;
        self.state = ExchangeState::Routing(routing);
    }

    /// Reads the answer whose head has come.
    pub(super) fn read(
        &mut self,
        response: UpstreamResponse,
        stream_name: Option<String>,
    ) {
        self.stream_name = stream_name.or(self.stream_name.take());
        self.state =
            match &self.outbound {
                Outbound::Completion(_) => ExchangeState::ReadingStream(Box::new(
                    StreamReader::new(response, self.upstream_request_id.clone()),
                )),
                Outbound::Service(req) => ExchangeState::ReadingBody(Box::pin(
                    read_service_answer(response, req.method.clone()),
                )),
            };
    }

    /// Sends the request to where it was routed.
    ///
    /// # Errors
    ///
    /// `bad_request` when the caller's key stands in it; nothing has left.
    pub(super) fn send(
        &mut self,
        cx: &ForwardContext,
        attempt: Attempt,
        force_new_connection: bool,
    ) -> Result<(), Problem> {
        self.attempt = attempt;
        let Some(routed) = self.routed.clone() else {
            return Ok(());
        };
        let request_id = format!("{}-{}-{attempt}", cx.id_prefix, cx.request);
        self.upstream_request_id.clone_from(&request_id);
        let headers = self.headers(cx);
        let (method, target, headers, body) = self.outbound.parts(&routed, &cx.key, headers)?;
        let connections = Rc::clone(&cx.connections);
        let expected = Expected {
            request_id,
            weights: routed.weights,
            method: method.clone(),
        };
        let is_engine = matches!(self.outbound, Outbound::Completion(_));
        self.state = ExchangeState::AwaitingHead(Box::pin(async move {
            let sent = connections
                .send(
                    force_new_connection,
                    routed.address,
                    method,
                    &target,
                    headers,
                    body,
                )
                .await;
            read_head(sent, &expected, is_engine, false).await
        }));
        Ok(())
    }

    /// Goes on with the stream after the token `offset`.
    pub(super) fn resume(
        &mut self,
        cx: &ForwardContext,
        attempt: Attempt,
        offset: u64,
    ) {
        self.attempt = attempt;
        let (Some(routed), Some(stream_name)) = (&self.routed, &self.stream_name) else {
            return;
        };
        let target = format!("/v1/streams/{stream_name}?offset={offset}");
        let address = routed.address;
        let expected = Expected {
            request_id: self.upstream_request_id.clone(),
            weights: routed.weights.clone(),
            method: Method::GET,
        };
        let headers = self.headers(cx);
        let connections = Rc::clone(&cx.connections);
        self.state = ExchangeState::AwaitingHead(Box::pin(async move {
            let sent = connections
                .send(true, address, Method::GET, &target, headers, Bytes::new())
                .await;
            read_head(sent, &expected, true, true).await
        }));
    }

    /// Tells the engine to stop; closing the connection alone leaves a resumable stream running.
    pub(super) fn cancel(
        &self,
        cx: &ForwardContext,
    ) {
        let (Some(routed), Some(stream_name)) = (&self.routed, &self.stream_name) else {
            return;
        };
        let target = format!("/v1/streams/{stream_name}");
        let address = routed.address;
        let headers = self.headers(cx);
        let connections = Rc::clone(&cx.connections);
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

    fn headers(
        &self,
        cx: &ForwardContext,
    ) -> HeaderMap {
        AttemptHeaders {
            request_id: &self.upstream_request_id,
            account: &cx.account,
            priority: cx.priority,
            remaining: self.deadline.since(cx.clock.now()),
        }
        .to_map()
    }
}

async fn read_head(
    sent: Result<UpstreamResponse, SendFailure>,
    expected: &Expected,
    is_engine: bool,
    is_resume: bool,
) -> HeadResult {
    let mut response = match sent {
        Ok(response) => Box::new(response),
        Err(failure) => return HeadResult::Failed(failure),
    };
    let (head, stream_name) = if is_engine {
        engine_head(&mut response, expected, is_resume).await
    } else {
        (service_head(&response, expected), None)
    };
    HeadResult::Answered {
        head,
        stream_name,
        response,
    }
}
