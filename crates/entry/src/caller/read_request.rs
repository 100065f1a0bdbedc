use {
    crate::{
        exchange_bytes::{ByteGate, ByteHolds},
        http1::{
            BodyPart, BodyReader, Framing, HeadScanner, HttpError, RequestHead, parse_request_head,
        },
    },
    bytes::{Buf, Bytes, BytesMut},
    jasmine_core::{byte_budget::Denial, clock::Millis, error::ErrorKind, ingress::CallerLimits},
    jasmine_platform::headers::CallerHeaders,
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
    /// The request is refused with this error.
    Refused(ErrorKind),
}

impl From<io::Error> for RequestReadError {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

impl From<HttpError> for RequestReadError {
    fn from(e: HttpError) -> Self {
        match e {
            HttpError::Malformed => Self::Refused(ErrorKind::BadRequest),
            HttpError::HeadTooLarge => Self::Refused(ErrorKind::HeadersTooLarge),
            HttpError::BodyTooLarge => Self::Refused(ErrorKind::BodyTooLarge),
            HttpError::Truncated => Self::Closed,
        }
    }
}

impl From<Denial> for RequestReadError {
    fn from(denial: Denial) -> Self {
        match denial {
            Denial::TooLarge => Self::Refused(ErrorKind::BodyTooLarge),
            // Others may have ended soon.
            Denial::Full => Self::Refused(ErrorKind::QueueFull),
        }
    }
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
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    limits: &CallerLimits,
    budget: &ByteGate,
) -> Result<IncomingRequest, RequestReadError> {
    let due = Instant::now() + limits.header_timeout.to_std();
    let mut scanner = HeadScanner::default();
    let head = loop {
        if let Some((head, len)) = parse_request_head(buf, limits.max_header_bytes, &mut scanner)? {
            buf.advance(len);
            break head;
        }
        match timeout_at(due, read_more(stream, buf)).await {
            Ok(read) => read?,
            Err(_elapsed) => return Err(RequestReadError::Refused(ErrorKind::SlowSender)),
        }
    };
    let body = read_body(stream, buf, &head, limits, budget).await?;
    Ok(IncomingRequest { head, body })
}

async fn read_body(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    head: &RequestHead,
    limits: &CallerLimits,
    budget: &ByteGate,
) -> Result<Bytes, RequestReadError> {
    let max = limits.max_body_bytes;
    match head.framing {
        Framing::Empty => return Ok(Bytes::new()),
        Framing::Length(length) if length > max as u64 => {
            return Err(HttpError::BodyTooLarge.into());
        }
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
        match reader.next(buf)? {
            BodyPart::End => return Ok(holds.attach(whole.freeze())),
            BodyPart::Data(data) if whole.len() + data.len() > max => {
                return Err(HttpError::BodyTooLarge.into());
            }
            BodyPart::Data(data) => {
                let len = whole.len() + data.len();
                holds.cover(len as u64, max_wait).await?;
                whole.extend_from_slice(&data);
            }
            BodyPart::NeedMore => {
                match timeout(limits.idle_timeout.to_std(), read_more(stream, buf)).await {
                    Ok(read) => read?,
                    Err(_elapsed) => return Err(RequestReadError::Refused(ErrorKind::SlowSender)),
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
