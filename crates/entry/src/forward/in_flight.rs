use {
    super::{
        ForwardRequest,
        attempt::{AttemptContext, Start, StartedResponse, Via},
        body_reading::BodyReading,
        failure::Failure,
        piece::{AttemptError, Piece},
        read_ahead::ReadAhead,
        response_trace::ResponseTrace,
        stream_reader::{MAX_HELD_BYTES, StreamReader},
    },
    crate::{
        context::Context,
        http1::{Status, StatusClass},
        scheduling::{GenerationSpec, Placement},
        upstream::Liveness,
    },
    futures::{
        StreamExt,
        stream::{LocalBoxStream, unfold},
    },
    jasmine_core::{clock::Millis, quarantine::AnswerEnd, scheduler::Outcome},
    jasmine_telemetry::log::Line,
    std::{
        cell::{Cell, RefCell},
        future::pending,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{task::spawn_local, time::timeout},
};

/// How long the first events of a contested stream are held back.
const PROBATION: Millis = Millis(200);

/// How far an attempt is.
enum Stage {
    /// Nothing was sent.
    NotSent {
        /// The last event that the caller has from earlier attempts; it is named to the upstream.
        after_event: Option<u64>,
        /// The last event that the caller has, from whichever attempt.
        last_event: Rc<Cell<Option<u64>>>,
    },
    /// The head of a stream was read.
    Begun(Box<StreamReader>),
    /// The events of a stream are being read.
    Streaming(Box<StreamReader>),
    /// The head of an answer was read that is forwarded as a whole.
    Buffering(Box<StartedResponse>),
    /// An answer is passed on in parts, as there is no room for the whole.
    PassingOn(Box<BodyReading>),
    /// It has ended.
    Ended,
}

/// What the attempts of a request share.
#[derive(Clone)]
pub(super) struct AttemptSetup {
    pub cx: Rc<Context>,
    pub req: Rc<ForwardRequest>,
    /// VMs to which the request has been offered.
    pub tried_relays: Rc<RefCell<Vec<SocketAddr>>>,
    pub after_event: Option<u64>,
    /// The last event that the caller has.
    pub last_event: Rc<Cell<Option<u64>>>,
    /// Whether another attempt may follow one that has run.
    pub can_retry: bool,
    /// Whether some attempt in flight couldn't go on after the first events of another one.
    pub is_contested: Rc<Cell<bool>>,
}

/// An attempt that was sent and has not ended.
///
/// Dropping it closes the connection, so that the upstream stops working.
pub(super) struct InFlight {
    req: Rc<ForwardRequest>,
    pub placement: Rc<Placement>,
    trace: Rc<Cell<ResponseTrace>>,
    /// Whether it is a hedge whose result isn't counted yet.
    is_uncounted_hedge: Cell<bool>,
    /// Whether its upstream is checked after an answer that has ended with its connection.
    is_checked: Cell<bool>,
    generation: Option<GenerationSpec>,
    cx: Rc<Context>,
    ahead: ReadAhead,
    pieces: LocalBoxStream<'static, Result<Piece, AttemptError>>,
}

impl InFlight {
    /// Prepares an attempt, which is sent when its first piece is awaited.
    pub(super) fn new(
        setup: AttemptSetup,
        placement: Placement,
        is_hedge: bool,
    ) -> Self {
        let placement = Rc::new(placement);
        let trace = Rc::new(Cell::new(ResponseTrace::new(setup.cx.clock.now())));
        let stage = Stage::NotSent {
            after_event: setup.after_event,
            last_event: setup.last_event,
        };
        let attempt = AttemptContext {
            cx: Rc::clone(&setup.cx),
            req: Rc::clone(&setup.req),
            placement: Rc::clone(&placement),
            trace: Rc::clone(&trace),
            tried_relays: setup.tried_relays,
            can_retry: setup.can_retry,
            is_contested: setup.is_contested,
        };
        let pieces = unfold((attempt, stage), |(attempt, stage)| async move {
            let (piece, stage) = next_piece(&attempt, stage).await?;
            Some((piece, (attempt, stage)))
        });
        Self {
            generation: setup.req.generation(),
            ahead: ReadAhead::new(setup.cx.bytes.limits().exchange),
            cx: setup.cx,
            req: setup.req,
            placement,
            trace,
            is_uncounted_hedge: Cell::new(is_hedge),
            is_checked: Cell::new(false),
            pieces: pieces.boxed_local(),
        }
    }

    /// Waits for the next piece of the answer. Nothing is lost if the wait is cancelled.
    pub(super) async fn next(&mut self) -> Result<Piece, AttemptError> {
        match self.ahead.take() {
            Some(piece) => piece,
            None => self.receive().await,
        }
    }

    /// Reads the next piece while the caller takes an earlier one, and keeps it; waits forever once enough is kept or
    /// the answer has ended. Nothing is lost if the wait is cancelled.
    ///
    /// An upstream closes an answer that stays unread for some seconds.
    pub(super) async fn read_ahead(&mut self) {
        if self.ahead.has_ended() {
            return pending().await;
        }
        if self.ahead.is_full() {
            let _paused = self.cx.bytes.pause();
            return pending().await;
        }
        let piece = self.receive().await;
        if piece.as_ref().is_ok_and(Piece::is_last) {
            self.note_complete();
        }
        self.ahead.push(piece, &self.cx.bytes);
    }

    /// Reports that the upstream has answered completely; its slot is free, however long the caller takes to read.
    ///
    /// Where the answer has ended with its connection, as in a crash, that waits until the upstream is seen to go on.
    pub(super) fn note_complete(&self) {
        let now = self.cx.clock.now();
        let trace = self.trace();
        let end = trace.complete_end(self.req.is_stream());
        let took = now.since(trace.sent_at);
        let outcome = Outcome::Answered { took };
        if !trace.has_ended_with_connection() || trace.via == Via::OtherVm {
            return self.placement.end(outcome, trace.evidence(end, now));
        }
        if self.is_checked.replace(true) {
            return;
        }
        let (cx, placement) = (Rc::clone(&self.cx), Rc::clone(&self.placement));
        spawn_local(async move {
            let end = match cx.pool.liveness(placement.address).await {
                Liveness::Accepting => AnswerEnd::Whole,
                Liveness::Refusing => AnswerEnd::UpstreamGone,
                Liveness::Unreached => end,
            };
            placement.end(outcome, trace.evidence(end, now));
        });
    }

    async fn receive(&mut self) -> Result<Piece, AttemptError> {
        tokio::select! {
            biased;
            piece = self.pieces.next() => {
                piece.unwrap_or_else(|| Err(Failure::may_have_run(Outcome::Abandoned).into()))
            }
            () = self.placement.begin_expired(self.generation.as_ref()) => {
                self.log_withdrawn();
                Err(Failure::may_have_run(Outcome::Abandoned).into())
            }
        }
    }

    /// How far its response got.
    pub(super) fn trace(&self) -> ResponseTrace {
        self.trace.get()
    }

    /// Records that its last events were forwarded.
    pub(super) fn note_forwarded(
        &self,
        now: Millis,
    ) {
        let mut trace = self.trace.get();
        trace.forwarded_at = Some(now);
        self.trace.set(trace);
    }

    /// Whether it is a hedge whose result is to be counted now; true once.
    pub(super) fn take_uncounted_hedge(&self) -> bool {
        self.is_uncounted_hedge.take()
    }

    /// Whether it goes over this VM's own links.
    pub(super) fn uses_own_links(&self) -> bool {
        self.trace().via == Via::OwnLinks
    }

    /// Logs that the request is withdrawn from its upstream, as it would begin on an older version of its adapter.
    fn log_withdrawn(&self) {
        Line::new("older_version_withdrawn")
            .with("id", self.req.id())
            .with("adapter", self.req.caller.adapter.as_deref().unwrap_or("-"))
            .with("upstream", &self.placement.upstream)
            .with("version", self.placement.version.unwrap_or_default())
            .info();
    }
}

/// Waits for the next piece of an attempt; `None` once it has ended.
async fn next_piece(
    attempt: &AttemptContext,
    stage: Stage,
) -> Option<(Result<Piece, AttemptError>, Stage)> {
    match stage {
        Stage::NotSent {
            after_event,
            last_event,
        } => Some(first_piece(attempt, after_event, last_event).await),
        Stage::Begun(reader) => Some(read_first_events(attempt, *reader).await),
        Stage::Streaming(reader) => Some(read_stream(attempt, *reader).await),
        Stage::Buffering(response) => Some(read_whole(attempt, *response).await),
        Stage::PassingOn(reading) => Some(pass_on(attempt, *reading).await),
        Stage::Ended => None,
    }
}

/// Sends the request and waits for the first piece.
async fn first_piece(
    attempt: &AttemptContext,
    after_event: Option<u64>,
    last_event: Rc<Cell<Option<u64>>>,
) -> (Result<Piece, AttemptError>, Stage) {
    let response = match attempt.start(after_event).await {
        Start::Responding(response) => *response,
        Start::Failed(failure) => return (Err(failure.into()), Stage::Ended),
        Start::Refused(kind) => return (Err(AttemptError::Refused(kind)), Stage::Ended),
    };
    let is_success = response.head.status.class() == StatusClass::Success;
    if is_success {
        let now = attempt.cx.clock.now();
        let framing = response.head.framing;
        attempt.update_trace(|trace| trace.note_head(framing, now));
    }
    if attempt.req.is_stream() && response.head.status == Status::OK {
        let reader = StreamReader::new(response, last_event, attempt.req.is_resumable());
        return (Ok(Piece::Begun), Stage::Begun(Box::new(reader)));
    }
    if is_success {
        attempt.note_begun();
        return (Ok(Piece::Begun), Stage::Buffering(Box::new(response)));
    }
    read_whole(attempt, response).await
}

/// Reads the rest of an answer that is forwarded as a whole.
async fn read_whole(
    attempt: &AttemptContext,
    response: StartedResponse,
) -> (Result<Piece, AttemptError>, Stage) {
    let hold = match attempt.hold_answer(&response).await {
        Ok(hold) => hold,
        Err(_) if attempt.req.is_stream() => {
            let failure = Failure::may_have_run(Outcome::Abandoned);
            return (Err(failure.into()), Stage::Ended);
        }
        Err(denial) => return pass_on(attempt, BodyReading::new(response, denial, attempt)).await,
    };
    match attempt.read_whole(response, hold).await {
        Ok((head, body)) => (Ok(Piece::Whole(head, body)), Stage::Ended),
        Err(failure) => (Err(failure.into()), Stage::Ended),
    }
}

/// Reads the next part of an answer that is passed on in parts.
async fn pass_on(
    attempt: &AttemptContext,
    mut reading: BodyReading,
) -> (Result<Piece, AttemptError>, Stage) {
    match reading.next_part(attempt).await {
        Ok(Some(piece)) => (Ok(piece), Stage::PassingOn(Box::new(reading))),
        Ok(None) => (Ok(reading.end(attempt)), Stage::Ended),
        Err(failure) => (Err(failure.into()), Stage::Ended),
    }
}

/// Reads the first events of a stream; if it is contested, with what follows them within the probation, so that nothing
/// is forwarded of one that breaks off at once.
async fn read_first_events(
    attempt: &AttemptContext,
    mut reader: StreamReader,
) -> (Result<Piece, AttemptError>, Stage) {
    let mut first = match reader.next_events(attempt).await {
        Ok(Some(first)) => first,
        Ok(None) => return (Ok(reader.end(attempt)), Stage::Ended),
        Err(failure) => return (Err(failure.into()), Stage::Ended),
    };
    if !attempt.is_contested.get() {
        return (reader.events(first), Stage::Streaming(Box::new(reader)));
    }
    let until = attempt.cx.clock.now() + PROBATION;
    while attempt.is_contested.get() && first.bytes.len() <= MAX_HELD_BYTES {
        let left = until.since(attempt.cx.clock.now());
        match timeout(left.to_std(), reader.next_events(attempt)).await {
            Ok(Ok(Some(ready))) => first.append(&ready),
            Ok(Ok(None)) | Err(_) => break,
            Ok(Err(failure)) => return (Err(failure.into()), Stage::Ended),
        }
    }
    if reader.is_broken() {
        // Its links are still being tested.
        return read_stream(attempt, reader).await;
    }
    match reader.without_known(&first) {
        Ok(ready) if ready.count == 0 => read_stream(attempt, reader).await,
        Ok(ready) => (reader.events(ready), Stage::Streaming(Box::new(reader))),
        Err(failure) => (Err(failure.into()), Stage::Ended),
    }
}

/// Reads the next piece of a stream.
async fn read_stream(
    attempt: &AttemptContext,
    mut reader: StreamReader,
) -> (Result<Piece, AttemptError>, Stage) {
    match reader.next_events(attempt).await {
        Ok(Some(ready)) => (reader.events(ready), Stage::Streaming(Box::new(reader))),
        Ok(None) => (Ok(reader.end(attempt)), Stage::Ended),
        Err(failure) => (Err(failure.into()), Stage::Ended),
    }
}
