use {
    super::{
        BufferedAnswer, ForwardContext, Outbound,
        outbound::AttemptHeaders,
        upstream_response::{
            Expected, StreamItem, StreamReader, engine_head, read_service_answer, service_head,
        },
    },
    crate::{
        coordinator::{RequestGuard, Routed},
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

/// How long an engine may take to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The pending operation of an exchange.
enum ExchangeState {
    Idle,
    Routing(oneshot::Receiver<Result<Routed, Refusal>>),
    AwaitingHead(LocalBoxFuture<'static, HeadResult>),
    ReadingStream(Box<StreamReader>),
    ReadingBody(LocalBoxFuture<'static, Option<BufferedAnswer>>),
}

/// The result of sending a request.
pub(super) enum HeadResult {
    /// No response head was received.
    Failed(SendFailure),
    /// A response head was received.
    Answered {
        /// Classification of the response head.
        head: Head,
        /// Name for resuming the stream, if the engine sent one.
        stream_name: Option<String>,
        /// The response with its unread body.
        response: Box<UpstreamResponse>,
    },
}

/// An event of an exchange.
pub(super) enum UpstreamEvent {
    /// The chosen upstream, or a refusal.
    Routed(Result<Routed, Refusal>),
    /// The response head, or a failure.
    HeadReceived(HeadResult),
    /// An item of a stream.
    StreamRead(StreamItem),
    /// The response of a plain service; `None` if it is truncated or too large.
    BodyRead(Option<BufferedAnswer>),
}

/// The current attempt of a request at an upstream.
pub(super) struct UpstreamExchange {
    pub(super) outbound: Outbound,
    pub(super) attempt: Attempt,
    pub(super) routed: Option<Routed>,
    deadline: Millis,
    state: ExchangeState,
    /// Request id of the attempt that started the stream; resumptions reuse it.
    upstream_request_id: String,
    stream_name: Option<String>,
}

impl UpstreamExchange {
    /// Creates the exchange, waiting for the route of the first attempt.
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

    /// Returns the next event; cancel safe.
    pub(super) async fn next(&mut self) -> UpstreamEvent {
        match &mut self.state {
            ExchangeState::Idle => std::future::pending().await,
            ExchangeState::Routing(rx) => {
                UpstreamEvent::Routed(RequestGuard::reply_or_shutdown(rx.await))
            }
            ExchangeState::AwaitingHead(f) => UpstreamEvent::HeadReceived(f.await),
            ExchangeState::ReadingStream(reader) => UpstreamEvent::StreamRead(reader.next().await),
            ExchangeState::ReadingBody(f) => UpstreamEvent::BodyRead(f.await),
        }
    }

    /// Closes the connection and stops waiting.
    pub(super) fn abandon(&mut self) {
        self.state = ExchangeState::Idle;
    }

    /// Starts waiting for the route of another attempt.
    pub(super) fn reroute(
        &mut self,
        attempt: Attempt,
        routing: oneshot::Receiver<Result<Routed, Refusal>>,
    ) {
        self.attempt = attempt;
        self.stream_name = None;
        self.state = ExchangeState::Routing(routing);
    }

    /// Starts reading the body of a response.
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

    /// Sends the request to the routed upstream.
    ///
    /// # Errors
    ///
    /// `bad_request` if the request contains the caller's key; nothing was sent.
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

    /// Resumes the stream after the token `offset`.
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

    /// Cancels the stream; closing the connection alone leaves a resumable stream running.
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
            // Best effort: if the request is lost, the engine only generates unused tokens.
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
