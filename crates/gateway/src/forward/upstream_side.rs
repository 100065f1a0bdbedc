use {
    super::{
        ForwardContext, Outbound, WholeAnswer,
        outbound::AttemptHeaders,
        reading::{Expected, Read, Reading, collect, engine_head, service_head},
    },
    crate::{
        brain::{Lease, Routed},
        request::Problem,
        upstream::{SendFailure, Sent},
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
enum Doing {
    Nothing,
    Routing(oneshot::Receiver<Result<Routed, Refusal>>),
    Heading(LocalBoxFuture<'static, Headed>),
    Reading(Box<Reading>),
    Collecting(LocalBoxFuture<'static, Option<WholeAnswer>>),
}

/// What came of sending.
pub(super) enum Headed {
    /// No answer began.
    Failed(SendFailure),
    /// An answer began.
    Answered {
        /// What its head says.
        head: Head,
        /// The name under which the engine knows it.
        stream: Option<String>,
        /// The rest of it.
        response: Box<Sent>,
    },
}

/// What came from the brain or the upstream.
pub(super) enum Heard {
    /// An upstream, or none.
    Routed(Result<Routed, Refusal>),
    /// The head of an answer, or none.
    Headed(Headed),
    /// A part of a stream.
    Read(Read),
    /// The whole answer of a plain service, or none.
    Collected(Option<WholeAnswer>),
}

/// The attempt under way: where it goes, under which name, and what is waited for.
pub(super) struct UpstreamSide {
    pub(super) outbound: Outbound,
    pub(super) attempt: Attempt,
    pub(super) routed: Option<Routed>,
    deadline: Millis,
    doing: Doing,
    /// The id under which the upstream knows the request, also when its stream is resumed.
    sent_as: String,
    stream: Option<String>,
}

impl UpstreamSide {
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
            doing: Doing::Routing(routing),
            sent_as: String::new(),
            stream: None,
        }
    }

    /// The next thing that comes; may be dropped and called again.
    pub(super) async fn next(&mut self) -> Heard {
        match &mut self.doing {
            Doing::Nothing => std::future::pending().await,
            Doing::Routing(rx) => Heard::Routed(Lease::route_of(rx.await)),
            Doing::Heading(f) => Heard::Headed(f.await),
            Doing::Reading(reading) => Heard::Read(reading.next().await),
            Doing::Collecting(f) => Heard::Collected(f.await),
        }
    }

    /// Closes the connection and waits for nothing.
    pub(super) fn abandon(&mut self) {
        self.doing = Doing::Nothing;
    }

    /// Waits for the route of another attempt.
    pub(super) fn route_again(
        &mut self,
        attempt: Attempt,
        routing: oneshot::Receiver<Result<Routed, Refusal>>,
    ) {
        self.attempt = attempt;
        self.stream = None;
        self.doing = Doing::Routing(routing);
    }

    /// Reads the answer whose head has come.
    pub(super) fn read(
        &mut self,
        response: Sent,
        stream: Option<String>,
    ) {
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

    /// Sends the request to where it was routed.
    ///
    /// # Errors
    ///
    /// `bad_request` when the caller's key stands in it; nothing has left.
    pub(super) fn send(
        &mut self,
        cx: &ForwardContext,
        attempt: Attempt,
        fresh: bool,
    ) -> Result<(), Problem> {
        self.attempt = attempt;
        let Some(routed) = self.routed.clone() else {
            return Ok(());
        };
        let request_id = format!("{}-{}-{attempt}", cx.origin, cx.request);
        self.sent_as.clone_from(&request_id);
        let headers = self.headers(cx);
        let (method, target, headers, body) = self.outbound.parts(&routed, &cx.key, headers)?;
        let connections = Rc::clone(&cx.connections);
        let expected = Expected {
            request_id,
            weights: routed.weights,
            method: method.clone(),
        };
        let is_engine = matches!(self.outbound, Outbound::Completion(_));
        self.doing = Doing::Heading(Box::pin(async move {
            let sent = connections
                .send(fresh, routed.address, method, &target, headers, body)
                .await;
            headed(sent, &expected, is_engine, false).await
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
        let (Some(routed), Some(stream)) = (&self.routed, &self.stream) else {
            return;
        };
        let target = format!("/v1/streams/{stream}?offset={offset}");
        let address = routed.address;
        let expected = Expected {
            request_id: self.sent_as.clone(),
            weights: routed.weights.clone(),
            method: Method::GET,
        };
        let headers = self.headers(cx);
        let connections = Rc::clone(&cx.connections);
        self.doing = Doing::Heading(Box::pin(async move {
            let sent = connections
                .send(true, address, Method::GET, &target, headers, Bytes::new())
                .await;
            headed(sent, &expected, true, true).await
        }));
    }

    /// Tells the engine to stop; closing the connection alone leaves a resumable stream running.
    pub(super) fn cancel(
        &self,
        cx: &ForwardContext,
    ) {
        let (Some(routed), Some(stream)) = (&self.routed, &self.stream) else {
            return;
        };
        let target = format!("/v1/streams/{stream}");
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
            request_id: &self.sent_as,
            account: &cx.account,
            priority: cx.priority,
            left: self.deadline.since(cx.clock.now()),
        }
        .to_map()
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
