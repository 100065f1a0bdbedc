use {
    crate::{
        http1::{
            BodyPart, BodyReader, Framing, HeadScanner, HttpError, RequestHead, parse_request_head,
        },
        upstream::ReadCharge,
    },
    bytes::{Buf, Bytes, BytesMut},
    jasmine_core::{error::ErrorKind, ingress::CallerLimits},
    std::io,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, timeout, timeout_at},
    },
};

/// Bytes read at a time.
const READ_BYTES: usize = 8 << 10;

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

/// Reads a complete request whose first byte has arrived; `charge` is for its body.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    limits: &CallerLimits,
    charge: ReadCharge,
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
    let body = read_body(stream, buf, &head, limits, charge).await?;
    Ok(IncomingRequest { head, body })
}

async fn read_body(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    head: &RequestHead,
    limits: &CallerLimits,
    mut charge: ReadCharge,
) -> Result<Bytes, RequestReadError> {
    let max = limits.max_body_bytes;
    match head.framing {
        Framing::Empty => return Ok(Bytes::new()),
        Framing::Length(length) if length > max as u64 => {
            return Err(HttpError::BodyTooLarge.into());
        }
        _ => {}
    }
    if head.expects_continue() && buf.is_empty() {
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut reader = BodyReader::new(head.framing);
    let mut whole = BytesMut::new();
    loop {
        match reader.next(buf)? {
            BodyPart::End => return Ok(charge.attach(whole.freeze())),
            BodyPart::Data(data) if whole.len() + data.len() > max => {
                return Err(HttpError::BodyTooLarge.into());
            }
            // Others may have ended soon.
            BodyPart::Data(data) if !charge.cover(whole.len() + data.len()) => {
                return Err(RequestReadError::Refused(ErrorKind::QueueFull));
            }
            BodyPart::Data(data) => whole.extend_from_slice(&data),
            BodyPart::NeedMore => {
                match timeout(limits.idle_timeout.to_std(), read_more(stream, buf)).await {
                    Ok(read) => read?,
                    Err(_elapsed) => return Err(RequestReadError::Refused(ErrorKind::SlowSender)),
                }
            }
        }
    }
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
