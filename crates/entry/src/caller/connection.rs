use {
    super::{
        ErrorResponse, ResponseWriter,
        answer_watch::{AnswerEnd, AnswerWatch},
        peer::Peer,
        read_request::{
            IncomingRequest, RefusedRead, RequestReadError, read_request, wait_for_request,
        },
        request_limits::{RELAY_IDLE_TIMEOUT, RequestLimits},
        response_writer::KeepAlive,
    },
    crate::{
        context::{Context, StopStage},
        forward::{STOPPING_RETRY_DELAY, serve_request},
        links::serve_relayed,
        refusals::CONFIG_UNAVAILABLE,
        upstream::ReadCharge,
    },
    bytes::BytesMut,
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
    },
    jasmine_platform::headers::request_id,
    jasmine_telemetry::log::Line,
    std::{cell::Cell, future::pending, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, tcp::ReadHalf},
        time::{Instant, sleep_until, timeout},
    },
};

/// Most bytes of pipelined requests that are buffered while a request is being answered.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// How long data is drained before closing, so that a reset doesn't overtake the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// When a caller may try again whose request was refused as those of others fill the memory.
const FULL_RETRY_DELAY: Millis = Millis(1_000);

/// What happens to a connection after a response.
enum AfterResponse {
    /// It waits for the next request.
    KeepOpen,
    /// It is closed.
    Close,
    /// It is reset, as the response is incomplete and a close would end it like a complete one.
    Reset,
}

/// Serves the requests of one connection in order.
pub(super) async fn serve_connection(
    cx: Rc<Context>,
    mut stream: TcpStream,
    peer: Peer,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut buf = BytesMut::new();
    let mut last_read_at = None;
    loop {
        if await_request(&cx, &mut stream, &mut buf, peer, last_read_at)
            .await
            .is_err()
        {
            return;
        }
        let _exchange = cx.count_exchange();
        let next = next_request(&cx, &mut stream, &mut buf, peer).await;
        last_read_at = Some(cx.clock.now());
        match next {
            Ok(req) => match answer_request(&cx, &mut stream, &mut buf, peer, req).await {
                AfterResponse::KeepOpen => {}
                AfterResponse::Close => return close(stream).await,
                AfterResponse::Reset => return reset(&stream),
            },
            Err(RequestReadError::Closed) => return,
            Err(RequestReadError::Refused(refused)) => return refuse(&cx, stream, &refused).await,
        }
    }
}

/// Waits for the next request; ends on a connection that is idle between requests when the daemon stops.
///
/// The first request is always read, so that a new caller gets a response.
async fn await_request(
    cx: &Context,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    peer: Peer,
    last_read_at: Option<Millis>,
) -> Result<(), RequestReadError> {
    tokio::select! {
        // A request that has arrived is answered, whatever else has happened meanwhile.
        biased;
        begun = wait_for_request(stream, buf) => begun,
        () = idle_expired(cx, peer, last_read_at) => {
            cx.metrics.count_idle_closed("idle");
            Err(RequestReadError::Closed)
        }
        () = cx.stop_reached(StopStage::Closing), if last_read_at.is_some() => {
            cx.metrics.count_idle_closed("stopping");
            Err(RequestReadError::Closed)
        }
    }
}

/// Reads the next request, whose first byte has arrived.
async fn next_request(
    cx: &Context,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    peer: Peer,
) -> Result<IncomingRequest, RequestReadError> {
    let limits = RequestLimits::new(cx, peer);
    let read = read_request(stream, buf, limits, &cx.bytes).await;
    if let Err(RequestReadError::Refused(refused)) = &read
        && refused.kind == ErrorKind::QueueFull
    {
        cx.metrics.count_bytes_refused();
    }
    read
}

/// The charge of what is buffered of a connection's pipelined requests, for no bytes yet.
fn caller_charge(
    cx: &Context,
    stream: &TcpStream,
) -> ReadCharge {
    let none = SocketAddr::from(([0, 0, 0, 0], 0));
    cx.caller_budget.charge(stream.peer_addr().unwrap_or(none))
}

/// Waits for the longest idle timeout that was in force since the last request was read; a caller may know any of them.
async fn idle_expired(
    cx: &Context,
    peer: Peer,
    last_read_at: Option<Millis>,
) {
    let idle_since = Instant::now();
    let since = last_read_at.unwrap_or_else(|| cx.clock.now());
    let mut config = cx.config_changes();
    loop {
        let longest = match peer {
            Peer::Caller => cx.longest_idle_timeout(since),
            Peer::Vm => RELAY_IDLE_TIMEOUT,
        };
        tokio::select! {
            () = sleep_until(idle_since + longest.to_std()) => return,
            changed = config.changed() => if changed.is_err() {
                // The channel closes only with the context.
                return pending().await;
            },
        }
    }
}

/// Answers a request.
async fn answer_request(
    cx: &Rc<Context>,
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    peer: Peer,
    req: IncomingRequest,
) -> AfterResponse {
    let _in_flight = cx.count_request();
    let id = request_id(req.head.headers.pairs()).map(str::to_owned);
    let watch = AnswerWatch::new(cx, peer, id);
    let charge = caller_charge(cx, stream);
    let (rx, tx) = stream.split();
    let has_next = Cell::new(!buf.is_empty());
    let keep_alive = match (req.head.keeps_connection(), cx.stop_stage()) {
        (false, _) => KeepAlive::No,
        (true, StopStage::Running) => KeepAlive::Yes,
        (true, _) => KeepAlive::ForNext(&has_next),
    };
    let is_head_request = req.head.method == "HEAD";
    let mut out = ResponseWriter::new(tx, req.head.minor_version, keep_alive, is_head_request);
    let served = async {
        match peer {
            Peer::Caller => serve_request(cx, req, &mut out).await,
            Peer::Vm => tokio::select! {
                biased;
                served = serve_relayed(cx, req, &mut out) => served,
                () = cx.stop_reached(StopStage::Ending) => Err(io::ErrorKind::ConnectionAborted.into()),
            },
        }
    };
    let end = tokio::select! {
        served = served => AnswerEnd::of(served),
        // Cancelling closes the connection to the upstream, which then stops working too.
        () = until_disconnected(rx, buf, &has_next, charge) => AnswerEnd::PeerGone,
    };
    watch.ended(end);
    match end {
        AnswerEnd::Complete if out.keep_alive() => AfterResponse::KeepOpen,
        AnswerEnd::Complete => {
            if !buf.is_empty() {
                cx.metrics.count_pipelined_dropped();
                Line::new("pipelined_dropped")
                    .with("bytes", buf.len())
                    .info();
            }
            AfterResponse::Close
        }
        _ if out.needs_reset() => AfterResponse::Reset,
        _ => AfterResponse::Close,
    }
}

/// Waits until the caller has closed the connection; keeps pipelined data in `buf`, and notes it in `has_next`.
async fn until_disconnected(
    mut rx: ReadHalf<'_>,
    buf: &mut BytesMut,
    has_next: &Cell<bool>,
    mut charge: ReadCharge,
) {
    while buf.len() < MAX_PIPELINED_BYTES && charge.cover(buf.len()) {
        buf.reserve(MAX_PIPELINED_BYTES / 16);
        if !matches!(rx.read_buf(buf).await, Ok(n) if n > 0) {
            return;
        }
        has_next.set(true);
    }
    pending::<()>().await;
}

/// Answers a request that couldn't be read, and closes its connection.
async fn refuse(
    cx: &Context,
    mut stream: TcpStream,
    refused: &RefusedRead,
) {
    let (_, tx) = stream.split();
    let mut out = ResponseWriter::new(tx, 1, KeepAlive::No, false);
    let kind = refused.kind;
    let refusal = match kind {
        ErrorKind::SlowSender => Refusal::after(kind, Millis::ZERO),
        ErrorKind::QueueFull => Refusal::after(kind, FULL_RETRY_DELAY),
        ErrorKind::ConfigUnavailable => CONFIG_UNAVAILABLE,
        ErrorKind::ShuttingDown => Refusal::after(kind, STOPPING_RETRY_DELAY),
        kind => Refusal::new(kind),
    };
    let id = refused.id.as_deref();
    cx.log_refused(id, refusal, &refused.rule);
    if out.write_error(ErrorResponse(refusal), id).await.is_ok() {
        close(stream).await;
    }
}

/// Makes the close of a connection a reset.
pub(super) fn reset(stream: &TcpStream) {
    if let Err(e) = stream.set_zero_linger() {
        Line::new("reset_failed").with("reason", e).warn();
    }
}

/// Closes a connection after draining it, so that a reset doesn't overtake the response.
async fn close(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let mut rest = [0_u8; 1024];
    let drained = async { while matches!(stream.read(&mut rest).await, Ok(n) if n > 0) {} };
    let _elapsed = timeout(LINGER_TIMEOUT, drained).await;
}
