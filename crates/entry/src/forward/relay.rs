use {
    super::{
        EventSplitter,
        attempt::{AttemptContext, Failure, StartedResponse, Via},
    },
    crate::{
        caller::ResponseWriter,
        http1::{BodyReader, Framing, ResponseHead},
    },
    bytes::{Bytes, BytesMut},
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        scheduler::Outcome,
        streams::{ServiceBuild, StreamOrigin},
    },
    std::{io, time::Duration},
};

/// Silence after which another upstream is sought for a resumable stream, as a multiple of its gap objective.
const PATIENCE_GAPS: u64 = 5;
/// Gap objective of routes without one.
const DEFAULT_GAP_OBJECTIVE: Millis = Millis(500);

/// The part of a stream that was forwarded to the caller.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The build that began the stream.
    pub origin: StreamOrigin,
    /// The id of the last event forwarded.
    pub last_event: Option<u64>,
    /// Number of events forwarded.
    pub events: u64,
    /// When the first data was forwarded.
    pub first_at: Option<Millis>,
    /// When the last data was forwarded.
    pub last_at: Option<Millis>,
    /// When the head of the last attempt's response was received.
    pub head_at: Option<Millis>,
    /// When the last data of the last attempt's response was received.
    pub received_at: Option<Millis>,
    /// Bytes of the body of the last attempt's response that were received.
    pub received_bytes: usize,
    /// When the last event of the last attempt's response was forwarded.
    pub event_at: Option<Millis>,
    /// How the end of the last response's body is determined.
    pub framing: Option<Framing>,
    /// Bytes received after the last complete event of the last response.
    pub partial_bytes: usize,
}

impl Progress {
    /// Forgets how far the answer of an earlier attempt got.
    pub(super) const fn begin_attempt(&mut self) {
        self.head_at = None;
        self.received_at = None;
        self.received_bytes = 0;
        self.event_at = None;
        self.framing = None;
        self.partial_bytes = 0;
    }

    /// Records that the head of a response was received.
    pub(super) const fn begin_response(
        &mut self,
        framing: Framing,
        now: Millis,
    ) {
        self.head_at = Some(now);
        self.framing = Some(framing);
    }

    /// Time from the head of the last attempt's answer until its last data.
    pub(super) fn received_for(&self) -> Millis {
        let begun_at = self.head_at.unwrap_or_default();
        let received_at = self.received_at.unwrap_or(begun_at);
        received_at.since(begun_at)
    }
}

/// Why a stream ended early.
pub(super) enum RelayError {
    /// The upstream failed.
    Upstream(Failure),
    /// The caller has disconnected.
    Caller(io::Error),
    /// Nothing was sent, nor should it be.
    Refused(ErrorKind),
}

impl From<io::Error> for RelayError {
    fn from(e: io::Error) -> Self {
        Self::Caller(e)
    }
}

impl From<Failure> for RelayError {
    fn from(failure: Failure) -> Self {
        Self::Upstream(failure)
    }
}

/// Forwards a stream's events as they arrive, until its end.
pub(super) async fn relay(
    attempt: &AttemptContext<'_>,
    mut response: StartedResponse,
    progress: &mut Progress,
    out: &mut ResponseWriter<'_>,
) -> Result<(), RelayError> {
    let mut reader = BodyReader::new(response.head.framing);
    let mut splitter = EventSplitter::default();
    loop {
        let part = read_part(attempt, progress, &mut response, &mut reader).await?;
        let Some(data) = part else {
            break;
        };
        if progress.received_at.is_none() {
            attempt.note_begun();
        }
        progress.received_at = Some(attempt.cx.clock.now());
        progress.received_bytes += data.len();
        if !splitter.push(&data) {
            return Err(Failure::may_have_run(Outcome::Lost).into());
        }
        let ready = take_events(&mut splitter, progress);
        progress.partial_bytes = splitter.partial_len();
        if !ready.is_empty() {
            progress.event_at = progress.received_at;
            forward_data(attempt, &response.head, progress, out, &ready).await?;
        }
    }
    if is_broken_off(&response.head, &splitter) {
        return Err(Failure::broken(Outcome::Lost).into());
    }
    if !out.has_begun() {
        forward_data(attempt, &response.head, progress, out, &[]).await?;
    }
    out.end_stream().await?;
    attempt.release(response);
    Ok(())
}

/// Reads the next part of a body; none at its end.
async fn read_part(
    attempt: &AttemptContext<'_>,
    progress: &Progress,
    response: &mut StartedResponse,
    reader: &mut BodyReader,
) -> Result<Option<Bytes>, Failure> {
    let via = response.via;
    let part = response.connection.body(reader);
    let patience = read_patience(attempt, progress);
    match attempt.attend(via, part, patience).await? {
        Err(e) => Err(attempt.broken(via, e).await),
        Ok(part) => {
            if via == Via::OwnLinks {
                attempt.cx.links.note_heard();
            }
            Ok(part)
        }
    }
}

/// Whether a stream that ended as its framing asks is incomplete.
///
/// Without length and chunks, a crash closes the connection just as the end of the body does; only the events tell them
/// apart.
fn is_broken_off(
    head: &ResponseHead,
    splitter: &EventSplitter,
) -> bool {
    let is_empty = head.framing == Framing::UntilClose && !splitter.has_events();
    splitter.partial_len() > 0 || is_empty
}

/// Silence after which another upstream is sought.
fn read_patience(
    attempt: &AttemptContext<'_>,
    progress: &Progress,
) -> Duration {
    if !attempt.req.is_resumable() {
        return attempt.time_left();
    }
    let route = &attempt.req.route;
    let idle_timeout = match progress.first_at {
        None => route.objective,
        Some(_) => Millis(route.gap_objective.unwrap_or(DEFAULT_GAP_OBJECTIVE).0 * PATIENCE_GAPS),
    };
    attempt.time_left().min(idle_timeout.to_std())
}

/// Takes the complete events that weren't forwarded yet.
fn take_events(
    splitter: &mut EventSplitter,
    progress: &mut Progress,
) -> BytesMut {
    let mut ready = BytesMut::new();
    while let Some(event) = splitter.next_event() {
        let is_forwarded =
            matches!((event.id, progress.last_event), (Some(id), Some(last)) if id <= last);
        if is_forwarded {
            continue;
        }
        progress.last_event = event.id.or(progress.last_event);
        progress.events += 1;
        ready.extend_from_slice(&event.bytes);
    }
    ready
}

/// Replicates the origin of a stream, so that its caller can resume it at another VM.
fn publish_origin(
    attempt: &AttemptContext<'_>,
    progress: &Progress,
) {
    let req = attempt.req;
    let is_first_attempt = req.is_resumable() && !req.is_resumption();
    if let Some(id) = req.caller.request_id.as_ref().filter(|_| is_first_attempt) {
        let build = progress.origin.required_build();
        let origin = ServiceBuild {
            service: req.service.clone(),
            build: build.map(str::to_owned),
        };
        attempt.cx.origins.begin(id, origin);
    }
}

/// Forwards data; the head goes out with the first event, as a retry may replace it until then.
async fn forward_data(
    attempt: &AttemptContext<'_>,
    head: &ResponseHead,
    progress: &mut Progress,
    out: &mut ResponseWriter<'_>,
    data: &[u8],
) -> io::Result<()> {
    let now = attempt.cx.clock.now();
    if let Some(last) = progress.last_at.replace(now) {
        attempt.cx.metrics.record_gap(attempt.req, now.since(last));
    }
    if progress.first_at.is_none() {
        progress.first_at = Some(now);
        progress.origin.begin(attempt.placement.build.as_deref());
        attempt.successor.note_begun(&progress.origin);
        publish_origin(attempt, progress);
        attempt.placement.first_event();
    }
    if out.has_begun() {
        out.chunk(data).await
    } else {
        out.begin_stream(head, data).await
    }
}
