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

/// Parts that wait for a caller that reads slowly. More is not read from the upstream meanwhile.
const MAX_QUEUED_PARTS: usize = 16;

/// An answer in one piece.
#[derive(Clone, Debug)]
pub struct BufferedAnswer {
    /// The status.
    pub status: StatusCode,
    /// Headers of an upstream that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl BufferedAnswer {
    /// A JSON document as an answer.
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

/// How an answer begins.
#[derive(Debug)]
pub enum Answer {
    /// It is there in one piece.
    Buffered(BufferedAnswer),
    /// Its parts come through the receiver.
    Stream(mpsc::Receiver<Result<Bytes, Infallible>>),
}

/// The way back to the caller.
#[derive(Debug)]
pub struct ResponseSender {
    state: State,
    /// Whether the work goes on when the caller has gone.
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
    /// A caller that waits for what comes through the receiver.
    pub fn new() -> (Self, oneshot::Receiver<Result<Answer, Problem>>) {
        let (tx, rx) = oneshot::channel();
        let caller = Self {
            state: State::Waiting(tx),
            is_detached: false,
        };
        (caller, rx)
    }

    /// Lets the work go on when the caller has gone.
    ///
    /// A call that is recorded under an idempotency key is finished for the caller's next attempt:
    /// cut off in the middle, nobody could say any more whether it ran.
    pub const fn detached(mut self) -> Self {
        self.is_detached = true;
        self
    }

    /// Answers in one piece, or with an error.
    pub fn answer(
        &mut self,
        answer: Result<BufferedAnswer, Problem>,
    ) {
        if let State::Waiting(tx) = mem::replace(&mut self.state, State::Ended) {
            // A caller that has gone is noticed where its absence matters.
            drop(tx.send(answer.map(Answer::Buffered)));
        }
    }

    /// Passes a part on; false when the caller doesn't take it yet.
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

    /// Whether a part waits to be taken.
    pub const fn has_backlog(&self) -> bool {
        matches!(
            self.state,
            State::Streaming {
                backlog: Some(_),
                ..
            }
        )
    }

    /// Waits until the caller has taken what it didn't take at once; false when it has gone.
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

    /// Waits until the caller has closed its connection.
    pub async fn closed(&mut self) {
        match &mut self.state {
            State::Waiting(tx) if !self.is_detached => tx.closed().await,
            State::Streaming { tx, .. } => tx.closed().await,
            State::Waiting(_) | State::Ended => std::future::pending().await,
        }
    }

    /// Sends the last part and ends the answer, however slowly the caller reads.
    ///
    /// Only a caller that still reads can get it: the wait is bounded by `deadline`.
    pub async fn end(
        &mut self,
        last: Bytes,
        deadline: tokio::time::Instant,
    ) {
        self.send_part(last);
        while self.has_backlog() {
            let taken = tokio::time::timeout_at(deadline, self.flush()).await;
            if taken != Ok(true) {
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
