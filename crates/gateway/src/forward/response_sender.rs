use {
    crate::request::Problem,
    actix_web::http::{
        StatusCode,
        header::{CONTENT_TYPE, HeaderMap, HeaderValue},
    },
    bytes::Bytes,
    serde_json::Value,
    std::{convert::Infallible, mem},
    tokio::sync::{mpsc, oneshot},
};

/// Parts of a stream that are queued for a slow caller before reading from the upstream pauses.
const MAX_QUEUED_PARTS: usize = 16;

/// A complete, non-streamed response.
#[derive(Clone, Debug)]
pub struct BufferedAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers, only those that are forwarded from the upstream.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// Creates a `200 OK` response with a JSON body.
    pub fn from_json(json: &Value) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            status: StatusCode::OK,
            headers,
            body: Bytes::from(json.to_string()),
        }
    }
}

/// The response to a caller, complete or streamed.
#[derive(Debug)]
pub enum Answer {
    /// A complete response.
    Buffered(BufferedAnswer),
    /// A stream whose parts arrive through the receiver.
    Stream(mpsc::Receiver<Result<Bytes, Infallible>>),
}

/// Sends the response of one request to its HTTP handler.
#[derive(Debug)]
pub struct ResponseSender {
    state: State,
    /// Whether the request continues after the caller disconnects.
    is_detached: bool,
}

#[derive(Debug)]
enum State {
    Waiting(oneshot::Sender<Result<Answer, Problem>>),
    Streaming {
        tx: mpsc::Sender<Result<Bytes, Infallible>>,
        backlog: Option<Bytes>,
    },
    Ended,
}

impl ResponseSender {
    /// Creates a sender and the receiver of its response.
    pub fn new() -> (Self, oneshot::Receiver<Result<Answer, Problem>>) {
        let (tx, rx) = oneshot::channel();
        let sender = Self {
            state: State::Waiting(tx),
            is_detached: false,
        };
        (sender, rx)
    }

    /// Lets the request continue after the caller disconnects.
    ///
    /// Used for calls with an idempotency key: their result is stored for the caller's next attempt.
    pub const fn detached(mut self) -> Self {
        self.is_detached = true;
        self
    }

    /// Sends a complete response or an error.
    pub fn answer(
        &mut self,
        answer: Result<BufferedAnswer, Problem>,
    ) {
        if let State::Waiting(tx) = mem::replace(&mut self.state, State::Ended) {
            // A dropped receiver means that the caller disconnected, which `closed` reports.
            drop(tx.send(answer.map(Answer::Buffered)));
        }
    }

    /// Sends a part of a stream; returns false if the queue is full and the part was kept as backlog.
    pub fn send_part(
        &mut self,
        part: Bytes,
    ) -> bool {
        if let State::Waiting(_) = self.state {
            self.begin_stream();
        }
        let State::Streaming { tx, backlog } = &mut self.state else {
            return true;
        };
        match tx.try_send(Ok(part)) {
            Err(mpsc::error::TrySendError::Full(Ok(part))) => {
                *backlog = Some(part);
                false
            }
            _ => true,
        }
    }

    /// Whether a part is waiting for space in the queue.
    pub const fn has_backlog(&self) -> bool {
        matches!(
            self.state,
            State::Streaming {
                backlog: Some(_),
                ..
            }
        )
    }

    /// Waits until the backlog is queued; returns false if the caller has disconnected.
    pub async fn flush(&mut self) -> bool {
        let State::Streaming { tx, backlog } = &mut self.state else {
            return false;
        };
        let Ok(permit) = tx.reserve().await else {
            return false;
        };
        if let Some(part) = backlog.take() {
            permit.send(Ok(part));
        }
        true
    }

    /// Waits until the caller disconnects; never returns for a detached request or an ended response.
    pub async fn closed(&mut self) {
        match &mut self.state {
            State::Waiting(tx) if !self.is_detached => tx.closed().await,
            State::Streaming { tx, .. } => tx.closed().await,
            State::Waiting(_) | State::Ended => std::future::pending().await,
        }
    }

    /// Sends the last part and ends the stream, waiting until `deadline` for a slow caller.
    pub async fn end(
        &mut self,
        last: Bytes,
        deadline: tokio::time::Instant,
    ) {
        self.send_part(last);
        while self.has_backlog() {
            let flushed = tokio::time::timeout_at(deadline, self.flush()).await;
            if flushed != Ok(true) {
                break;
            }
        }
        self.state = State::Ended;
    }

    fn begin_stream(&mut self) {
        let (body, rx) = mpsc::channel(MAX_QUEUED_PARTS);
        let streaming = State::Streaming {
            tx: body,
            backlog: None,
        };
        if let State::Waiting(tx) = mem::replace(&mut self.state, streaming) {
            drop(tx.send(Ok(Answer::Stream(rx))));
        }
    }
}
