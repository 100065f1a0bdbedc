use {
    super::request_limits::{Excess, RequestLimits},
    crate::{
        context::{Context, StopStage},
        exchange_bytes::{ByteGate, ByteHolds},
        http1::{
            BodyPart, BodyReader, Framing, HeadScanner, HttpError, RequestHead, parse_request_head,
        },
        refusals::Rule,
    },
    bytes::{Buf, Bytes, BytesMut},
    jasmine_core::{byte_budget::Denial, clock::Millis, error::ErrorKind, ingress::CallerLimits},
    jasmine_platform::headers::{CallerHeaders, request_id},
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, timeout, timeout_at},
    },
};

/// Bytes read at a time.
const READ_BYTES: usize = 8 << 10;
/// How long a body waits unread for room; at most half of the time that its caller waits.
///
/// Most exchanges end within it, and a refusal leaves the caller time for another VM.
const MAX_BODY_WAIT: Millis = Millis(2_000);

/// Most lines of a head that isn't parsed in which its request id is looked for.
const MAX_UNPARSED_LINES: usize = 100;

/// A completely received request.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// The decoded body; empty if there is none.
    pub body: Bytes,
}

/// Why no request could be read.
#[derive(Debug)]
pub enum RequestReadError {
    /// The connection was closed or reset, or is closed as it is idle; no response is sent.
    Closed,
    /// The request is refused.
    Refused(RefusedRead),
}

/// Why a request that couldn't be read is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedRead {
    /// The error.
    pub kind: ErrorKind,
    /// The rule that it breaks.
    pub rule: Rule,
    /// Its id, if that was read.
    pub id: Option<String>,
}

impl RefusedRead {
    const fn new(
        kind: ErrorKind,
        rule: Rule,
    ) -> Self {
        Self {
            kind,
            rule,
            id: None,
        }
    }
}

impl RequestReadError {
    /// Notes the id of the request.
    fn with_id(
        self,
        id: Option<&str>,
    ) -> Self {
        match self {
            Self::Closed => Self::Closed,
            Self::Refused(refused) => Self::Refused(RefusedRead {
                id: id.map(str::to_owned),
                ..refused
            }),
        }
    }
}

impl From<io::Error> for RequestReadError {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

impl From<RefusedRead> for RequestReadError {
    fn from(refused: RefusedRead) -> Self {
        Self::Refused(refused)
    }
}

impl From<Denial> for RequestReadError {
    /// Others may have ended soon, and a body that is too large for this VM may find room at a larger one.
    fn from(_: Denial) -> Self {
        RefusedRead::new(ErrorKind::QueueFull, Rule::VmBytes).into()
    }
}

/// The refusal of a request that can't be decoded.
fn decode_error(e: HttpError) -> RequestReadError {
    match e {
        HttpError::Truncated => RequestReadError::Closed,
        _ => RefusedRead::new(ErrorKind::BadRequest, Rule::Format).into(),
    }
}

/// Checks a head that is beyond the limits, of which `bytes` bytes were read.
async fn check_head(
    limits: &mut RequestLimits<'_>,
    bytes: usize,
) -> Result<(), RequestReadError> {
    let max = limits.current().max_header_bytes;
    let excess = limits
        .judge_excess(|newer| newer.max_header_bytes > max)
        .await;
    let rule = Rule::HeaderBytes { bytes, max };
    refuse_excess(excess, ErrorKind::HeadersTooLarge, rule)
}

/// Checks a body of `bytes` bytes.
async fn check_body(
    limits: &mut RequestLimits<'_>,
    bytes: u64,
) -> Result<(), RequestReadError> {
    let is_within = |limits: &CallerLimits| bytes <= limits.max_body_bytes as u64;
    if is_within(limits.current()) {
        return Ok(());
    }
    let excess = limits.judge_excess(is_within).await;
    let max = limits.current().max_body_bytes;
    let rule = Rule::BodyBytes { bytes, max };
    refuse_excess(excess, ErrorKind::BodyTooLarge, rule)
}

fn refuse_excess(
    excess: Excess,
    kind: ErrorKind,
    rule: Rule,
) -> Result<(), RequestReadError> {
    match excess {
        Excess::Allowed => Ok(()),
        Excess::Refused => Err(RefusedRead::new(kind, rule).into()),
        Excess::Uncertain => Err(RefusedRead::new(ErrorKind::ConfigUnavailable, rule).into()),
    }
}

const fn sent_too_slowly() -> RequestReadError {
    RequestReadError::Refused(RefusedRead::new(ErrorKind::SlowSender, Rule::SendTime))
}

/// Waits for the first byte of a request.
pub(super) async fn wait_for_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
) -> Result<(), RequestReadError> {
    if buf.is_empty() {
        read_more(stream, buf).await?;
    }
    Ok(())
}

/// Reads a complete request whose first byte has arrived; its body takes of `budget`.
///
/// Refuses one that arrives too slowly for a planned stop.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    mut limits: RequestLimits<'_>,
    budget: &ByteGate,
) -> Result<IncomingRequest, RequestReadError> {
    let cx = limits.context();
    let head = tokio::select! {
        biased;
        head = read_head(stream, buf, &mut limits) => head,
        e = stopped(cx) => Err(e),
    };
    let head = head.map_err(|e| e.with_id(request_id(unparsed_headers(buf))))?;
    let body = tokio::select! {
        biased;
        body = read_body(stream, buf, &head, &mut limits, budget) => body,
        e = stopped(cx) => Err(e),
    };
    match body {
        Ok(body) => Ok(IncomingRequest { head, body }),
        Err(e) => Err(e.with_id(request_id(head.headers.pairs()))),
    }
}

/// Waits until requests that haven't arrived whole are refused, and returns that refusal.
async fn stopped(cx: &Context) -> RequestReadError {
    cx.stop_reached(StopStage::RefusingWaiting).await;
    RefusedRead::new(ErrorKind::ShuttingDown, Rule::Stopping).into()
}

async fn read_head(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    limits: &mut RequestLimits<'_>,
) -> Result<RequestHead, RequestReadError> {
    let due = Instant::now() + limits.current().header_timeout.to_std();
    let mut scanner = HeadScanner::default();
    loop {
        let max = limits.current().max_header_bytes;
        match parse_request_head(buf, max, &mut scanner) {
            Ok(Some((head, len))) => {
                buf.advance(len);
                return Ok(head);
            }
            Ok(None) => {}
            Err(HttpError::HeadTooLarge) => {
                check_head(limits, buf.len()).await?;
                continue;
            }
            Err(e) => return Err(decode_error(e)),
        }
        match timeout_at(due, read_more(stream, buf)).await {
            Ok(read) => read?,
            Err(_elapsed) => return Err(sent_too_slowly()),
        }
    }
}

/// The lines of a head that can't be parsed as a whole, as far as they look like headers.
///
/// Lines with control characters are left out: a request id is written into the answer.
fn unparsed_headers(buf: &[u8]) -> impl Iterator<Item = (&str, &[u8])> {
    let lines = buf.split(|&byte| byte == b'\n').take(MAX_UNPARSED_LINES);
    lines.filter_map(|line| {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.iter().any(u8::is_ascii_control) {
            return None;
        }
        let end = line.iter().position(|&byte| byte == b':')?;
        let name = str::from_utf8(&line[..end]).ok()?;
        Some((name, &line[end + 1..]))
    })
}

async fn read_body(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    head: &RequestHead,
    limits: &mut RequestLimits<'_>,
    budget: &ByteGate,
) -> Result<Bytes, RequestReadError> {
    match head.framing {
        Framing::Empty => return Ok(Bytes::new()),
        Framing::Length(length) => check_body(limits, length).await?,
        _ => {}
    }
    let max_wait = max_body_wait(head);
    let mut holds = ByteHolds::new(budget.clone());
    let mut whole = BytesMut::new();
    if let Framing::Length(length) = head.framing {
        holds.hold_all(length, max_wait).await?;
        // Growing in steps, it could take twice what it holds.
        whole.reserve(usize::try_from(length).unwrap_or_default());
    }
    if head.expects_continue() && buf.is_empty() {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut reader = BodyReader::new(head.framing);
    loop {
        match reader.next(buf).map_err(decode_error)? {
            BodyPart::End => return Ok(holds.attach(whole.freeze())),
            BodyPart::Data(data) => {
                let len = whole.len() + data.len();
                check_body(limits, len as u64).await?;
                holds.cover(len as u64, max_wait).await?;
                whole.extend_from_slice(&data);
            }
            BodyPart::NeedMore => {
                match timeout(
                    limits.current().idle_timeout.to_std(),
                    read_more(stream, buf),
                )
                .await
                {
                    Ok(read) => read?,
                    Err(_elapsed) => return Err(sent_too_slowly()),
                }
            }
        }
    }
}

/// How long the body of a request may wait for room.
fn max_body_wait(head: &RequestHead) -> Millis {
    let patience = CallerHeaders::read(head.headers.pairs()).max_wait;
    patience.map_or(MAX_BODY_WAIT, |wait| MAX_BODY_WAIT.min(Millis(wait.0 / 2)))
}

async fn read_more(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
) -> Result<(), RequestReadError> {
    buf.reserve(READ_BYTES);
    match stream.read_buf(buf).await? {
        0 => Err(RequestReadError::Closed),
        _ => Ok(()),
    }
}
