use {
    super::{
        Event, EventSplitter,
        attempt::{AttemptContext, StartedResponse, Via},
        failure::Failure,
        piece::{AttemptError, Piece},
    },
    crate::{
        http1::{BodyReader, Framing, ResponseHead},
        upstream::{ExchangeError, ReadCharge},
    },
    bytes::{Bytes, BytesMut},
    jasmine_core::scheduler::Outcome,
    std::{
        cell::Cell,
        mem::{replace, take},
        rc::Rc,
    },
    tokio::task::yield_now,
};

/// Most bytes of events that are held back.
pub(super) const MAX_HELD_BYTES: usize = 64 << 10;

/// Reads without an event after which other tasks, and the deadline, get their turn.
const READS_PER_TURN: u32 = 16;

/// Complete events of a stream.
#[derive(Debug, Default)]
pub(super) struct EventBatch {
    /// The raw bytes.
    pub bytes: BytesMut,
    /// Number of events.
    pub count: u64,
    /// The id of the last one with an id.
    pub last_id: Option<u64>,
    /// What they take of the budget for answers, until the caller has them.
    pub charge: Option<ReadCharge>,
}

impl EventBatch {
    fn push(
        &mut self,
        event: &Event,
    ) {
        self.bytes.extend_from_slice(&event.bytes);
        self.count += 1;
        self.last_id = event.id.or(self.last_id);
    }

    pub(super) fn append(
        &mut self,
        other: &Self,
    ) {
        self.bytes.extend_from_slice(&other.bytes);
        self.count += other.count;
        self.last_id = other.last_id.or(self.last_id);
    }
}

/// Reads the events of a streamed response.
pub(super) struct StreamReader {
    head: Rc<ResponseHead>,
    response: StartedResponse,
    reader: BodyReader,
    splitter: EventSplitter,
    /// The id of the last event that the caller has got, from whichever attempt.
    forwarded: Rc<Cell<Option<u64>>>,
    /// The id of the last event that was taken from this one.
    last_event: Option<u64>,
    /// Comments and events without an id, which are forwarded only before an event with one, or at the end: nobody can
    /// go on after them, and an upstream in trouble may send them without end.
    held: EventBatch,
    /// Whether they are held back.
    holds: bool,
    /// Why its connection can't be read any more.
    error: Option<ExchangeError>,
}

impl StreamReader {
    pub(super) fn new(
        response: StartedResponse,
        forwarded: Rc<Cell<Option<u64>>>,
        is_resumable: bool,
    ) -> Self {
        Self {
            held: EventBatch::default(),
            holds: is_resumable,
            error: None,
            head: Rc::new(response.head.clone()),
            reader: BodyReader::new(response.head.framing),
            splitter: EventSplitter::new(response.connection.read_charge()),
            response,
            last_event: forwarded.get(),
            forwarded,
        }
    }

    /// Waits for complete events that the caller has not got; `None` at the end of a complete stream.
    ///
    /// Nothing is lost if the wait is cancelled.
    pub(super) async fn next_events(
        &mut self,
        attempt: &AttemptContext,
    ) -> Result<Option<EventBatch>, Failure> {
        let mut reads_in_turn = 0;
        while let Some(data) = self.read_part(attempt, reads_in_turn).await? {
            reads_in_turn += 1;
            if attempt.trace.get().received_at.is_none() {
                attempt.note_begun();
            }
            let now = attempt.cx.clock.now();
            attempt.update_trace(|trace| trace.note_data(data.len(), now));
            if !self.splitter.push(&data) {
                return Err(Failure::may_have_run(Outcome::Lost));
            }
            let ready = self.take_events();
            if self.held.bytes.len() > MAX_HELD_BYTES {
                return Err(Failure::may_have_run(Outcome::Lost));
            }
            attempt.update_trace(|trace| trace.partial_bytes = self.splitter.partial_len());
            if ready.count > 0 {
                attempt.update_trace(|trace| trace.event_at = Some(now));
                return Ok(Some(ready));
            }
        }
        if self.is_broken_off() {
            let has_ended = attempt.has_upstream_ended(self.response.via).await;
            return Err(Failure::broken(Outcome::Lost, has_ended));
        }
        let held = take(&mut self.held);
        Ok(Some(held).filter(|held| held.count > 0))
    }

    /// Events that were held back, without those that the caller has got since.
    pub(super) fn without_known(
        &mut self,
        held_back: &EventBatch,
    ) -> Result<EventBatch, Failure> {
        let mut splitter = EventSplitter::new(self.response.connection.read_charge());
        if !splitter.push(&held_back.bytes) {
            return Err(Failure::may_have_run(Outcome::Lost));
        }
        let later = replace(&mut self.splitter, splitter);
        let held = take(&mut self.held);
        self.last_event = None;
        let ready = self.take_events();
        self.splitter = later;
        self.held = held;
        self.last_event = held_back.last_id.max(self.last_event);
        Ok(ready)
    }

    /// Whether nothing follows what was read, as its connection is broken.
    pub(super) const fn is_broken(&self) -> bool {
        self.error.is_some()
    }

    /// A part of the stream for the caller; fails if the budget for answers has no room for it.
    pub(super) fn events(
        &self,
        mut ready: EventBatch,
    ) -> Result<Piece, AttemptError> {
        let mut charge = self.response.connection.read_charge();
        if !charge.cover(ready.bytes.len()) {
            return Err(Failure::may_have_run(Outcome::Lost).into());
        }
        ready.charge = Some(charge);
        Ok(Piece::Events(Rc::clone(&self.head), ready))
    }

    /// Ends a complete stream, and keeps its connection.
    pub(super) fn end(
        self,
        attempt: &AttemptContext,
    ) -> Piece {
        attempt.release(self.response);
        Piece::End(self.head)
    }

    /// Reads the next part of the body; none at its end.
    async fn read_part(
        &mut self,
        attempt: &AttemptContext,
        reads_in_turn: u32,
    ) -> Result<Option<Bytes>, Failure> {
        if reads_in_turn % READS_PER_TURN == READS_PER_TURN - 1 {
            yield_now().await;
        }
        let via = self.response.via;
        let part = match self.error {
            Some(e) => Err(e),
            None => self.response.connection.body(&mut self.reader).await,
        };
        match part {
            Err(e) => {
                self.error = Some(e);
                Err(attempt.broken(via, e).await)
            }
            Ok(part) => {
                if via == Via::OwnLinks {
                    attempt.cx.links.note_heard();
                }
                Ok(part)
            }
        }
    }

    /// Takes the complete events that the caller has not got.
    fn take_events(&mut self) -> EventBatch {
        self.last_event = self.last_event.max(self.forwarded.get());
        let mut ready = EventBatch::default();
        while let Some(event) = self.splitter.next_event() {
            let is_known =
                matches!((event.id, self.last_event), (Some(id), Some(last)) if id <= last);
            match event.id {
                _ if is_known => self.held = EventBatch::default(),
                None if self.holds => self.held.push(&event),
                id => {
                    ready.append(&take(&mut self.held));
                    ready.push(&event);
                    self.last_event = id.or(self.last_event);
                }
            }
        }
        ready
    }

    /// Whether a stream that ended as its framing asks is incomplete.
    ///
    /// Without length and chunks, a crash closes the connection just as the end of the body does; only the events tell
    /// them apart.
    fn is_broken_off(&self) -> bool {
        let is_empty = self.head.framing == Framing::UntilClose && !self.splitter.has_events();
        self.splitter.partial_len() > 0 || is_empty
    }
}
