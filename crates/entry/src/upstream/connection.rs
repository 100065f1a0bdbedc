use {
    super::{
        Awaited, ReadBudget, ReadCharge, RequestTag, carried_requests::CarriedRequests,
        peer_budget::PeerBudget,
    },
    crate::{
        clock::Clock,
        http1::{BodyPart, BodyReader, Framing, HttpError, ResponseHead, ResponseHeadReader},
    },
    bytes::{Buf, Bytes, BytesMut},
    jasmine_core::clock::Millis,
    jasmine_platform::headers::ResponseHeaders,
    jasmine_telemetry::log::Line,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
    },
};

/// Bytes read at a time.
const READ_BYTES: usize = 4 << 10;
/// By what part of its length the buffer for a body of unknown length grows beyond it.
///
/// A doubled buffer would take twice what a full budget allows.
const GROWTH_DIVISOR: usize = 4;
/// Most responses to other requests that are skipped before the matching one.
const MAX_STRAY_RESPONSES: u32 = 2;
/// Most bytes of the body of a skipped response.
const MAX_STRAY_BYTES: usize = 1 << 20;

/// Why an exchange failed; the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(derive_more::Display, derive_more::Error)]
pub enum ExchangeError {
    /// The connection ended or was reset.
    #[display("connection lost")]
    Lost,
    /// The response is invalid, too large or for another request.
    #[display("not an answer to this request")]
    Invalid,
}

impl From<io::Error> for ExchangeError {
    fn from(_: io::Error) -> Self {
        Self::Lost
    }
}

/// The head of a response, and how much of the request was sent before it.
#[derive(Clone, Debug)]
pub struct ResponseStart {
    /// Status and headers.
    pub head: ResponseHead,
    /// Whether the whole request had been sent.
    pub is_request_sent: bool,
}

/// What is sent next of a request in two parts.
fn unsent<'b>(
    first: &'b [u8],
    last: &'b [u8],
    sent: usize,
) -> &'b [u8] {
    match sent.checked_sub(first.len()) {
        None => &first[sent..],
        Some(sent) => &last[sent..],
    }
}

/// A connection to a server, used for one exchange at a time.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    budget: Box<PeerBudget>,
    carried: CarriedRequests,
    /// When it became idle.
    pub(super) idle_since: Millis,
    /// How long it may stay idle and still be reused.
    pub(super) idle_timeout: Millis,
}

impl Connection {
    /// Opens a TCP connection, from a local address if one is given; what is buffered of its answers takes of `budget`.
    ///
    /// # Errors
    ///
    /// Any I/O error; nothing was sent.
    pub async fn open(
        address: SocketAddr,
        source: Option<Ipv4Addr>,
        budget: ReadBudget,
    ) -> io::Result<Self> {
        let stream = match source {
            None => TcpStream::connect(address).await?,
            Some(source) => {
                let socket = TcpSocket::new_v4()?;
                socket.bind(SocketAddr::from((source, 0)))?;
                socket.connect(address).await?
            }
        };
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buf: BytesMut::new(),
            budget: Box::new(PeerBudget {
                peer: address,
                budget,
            }),
            carried: CarriedRequests::default(),
            idle_since: Millis::ZERO,
            idle_timeout: Millis::ZERO,
        })
    }

    /// The charge of what is buffered of an answer on this connection, for no bytes yet.
    pub fn read_charge(&self) -> ReadCharge {
        self.budget.charge()
    }

    /// Whether nothing was sent on it yet.
    pub fn is_unused(&self) -> bool {
        self.carried.is_empty()
    }

    /// Whether it may carry an attempt of a request: not after another attempt, whose answer may come once more.
    pub(super) fn can_carry(
        &self,
        tag: Option<RequestTag<'_>>,
    ) -> bool {
        tag.is_none_or(|tag| !self.carried.contains(tag))
    }

    /// Whether the connection is open and has no unread data.
    ///
    /// On a reused connection, a surplus response would be taken for the next request's.
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0_u8; 1];
        let pending = self.stream.try_read(&mut probe);
        self.buf.is_empty() && matches!(pending, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the head of its response; answers that aren't `awaited` are skipped.
    ///
    /// Sends and reads at the same time: an upstream may answer before it has read a long body, and stop reading until
    /// its response is read.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn send_request(
        &mut self,
        request: &[u8],
        method: &str,
        awaited: Awaited<'_>,
    ) -> Result<ResponseStart, ExchangeError> {
        self.send_parts(request, &[], method, awaited).await
    }

    /// As [`Self::send_request`], for a request whose last part is not copied behind the first.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn send_parts(
        &mut self,
        first: &[u8],
        last: &[u8],
        method: &str,
        awaited: Awaited<'_>,
    ) -> Result<ResponseStart, ExchangeError> {
        let is_first = self.is_unused();
        self.carried.note(awaited.tag(), Clock.now());
        let request_len = first.len() + last.len();
        let mut sent = 0;
        let mut stray = 0;
        let mut heads = ResponseHeadReader::default();
        let mut charge = self.read_charge();
        loop {
            while let Some((head, len)) = heads
                .next(&mut self.buf, method)
                .map_err(|e| self.reject(e, awaited.tag()))?
            {
                self.buf.advance(len);
                let is_request_sent = sent == request_len;
                if awaited.is_answered_by(&head, is_first) {
                    return Ok(ResponseStart {
                        head,
                        is_request_sent,
                    });
                }
                if stray >= MAX_STRAY_RESPONSES {
                    return Err(ExchangeError::Invalid);
                }
                stray += 1;
                self.log_skipped(&head, awaited);
                self.discard_body(&head).await?;
            }
            self.buf.reserve(READ_BYTES);
            let (mut rx, mut tx) = self.stream.split();
            tokio::select! {
                written = tx.write(unsent(first, last, sent)), if sent < request_len => {
                    sent += written?;
                }
                read = rx.read_buf(&mut self.buf) => {
                    if read? == 0 {
                        return Err(ExchangeError::Lost);
                    }
                    if !charge.cover(self.buf.len()) {
                        return Err(ExchangeError::Invalid);
                    }
                }
            }
        }
    }

    /// Reads the next part of a body; none at its end.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn body(
        &mut self,
        reader: &mut BodyReader,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match reader
                .next(&mut self.buf)
                .map_err(|e| self.reject(e, None))?
            {
                BodyPart::Data(data) => return Ok(Some(data)),
                BodyPart::End => return Ok(None),
                BodyPart::NeedMore => {}
            }
            self.buf.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buf).await? == 0 {
                reader.check_close().map_err(|e| self.reject(e, None))?;
                return Ok(None);
            }
        }
    }

    /// Reads a whole body of at most `max` bytes, within the budget for all of them.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn read_whole_body(
        &mut self,
        head: &ResponseHead,
        max: usize,
    ) -> Result<Bytes, ExchangeError> {
        if matches!(head.framing, Framing::Length(len) if len > max as u64) {
            return Err(ExchangeError::Invalid);
        }
        let mut reader = BodyReader::new(head.framing);
        let mut charge = self.read_charge();
        let mut whole = Vec::new();
        while let Some(data) = self.body(&mut reader).await? {
            let len = whole.len() + data.len();
            let capacity = if len > whole.capacity() {
                (len + len / GROWTH_DIVISOR).min(max).max(len)
            } else {
                whole.capacity()
            };
            if len > max || !charge.cover(capacity) {
                return Err(ExchangeError::Invalid);
            }
            whole.reserve_exact(capacity - whole.len());
            whole.extend_from_slice(&data);
        }
        Ok(charge.attach(whole.into()))
    }

    /// Reads a whole body of known length whose bytes are held already.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`].
    pub async fn read_held_body(
        &mut self,
        head: &ResponseHead,
    ) -> Result<Bytes, ExchangeError> {
        let mut reader = BodyReader::new(head.framing);
        let len = match head.framing {
            Framing::Length(len) => usize::try_from(len).unwrap_or_default(),
            _ => 0,
        };
        let mut whole = BytesMut::with_capacity(len);
        while let Some(data) = self.body(&mut reader).await? {
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    /// Logs why the bytes of the peer are no answer, unless they only end early.
    fn reject(
        &self,
        e: HttpError,
        tag: Option<RequestTag<'_>>,
    ) -> ExchangeError {
        if e == HttpError::Truncated {
            return ExchangeError::Lost;
        }
        Line::new("answer_rejected")
            .with("id", tag.and_then(|tag| tag.id).unwrap_or("-"))
            .with("address", self.budget.peer)
            .with("reason", e)
            .warn();
        ExchangeError::Invalid
    }

    fn log_skipped(
        &self,
        head: &ResponseHead,
        awaited: Awaited<'_>,
    ) {
        let headers = ResponseHeaders::read(head.status.code(), head.headers.pairs());
        let id = awaited.tag().and_then(|tag| tag.id);
        Line::new("answer_skipped")
            .with("id", id.unwrap_or("-"))
            .with("address", self.budget.peer)
            .with("status", head.status)
            .with("answers", headers.request_id.as_deref().unwrap_or("-"))
            .info();
    }

    /// Skips the body of a stray response.
    async fn discard_body(
        &mut self,
        head: &ResponseHead,
    ) -> Result<(), ExchangeError> {
        // No answer can follow a body that ends with the connection.
        if head.framing == Framing::UntilClose {
            return Err(ExchangeError::Invalid);
        }
        let mut reader = BodyReader::new(head.framing);
        let mut skipped = 0;
        while let Some(data) = self.body(&mut reader).await? {
            skipped += data.len();
            if skipped > MAX_STRAY_BYTES {
                return Err(ExchangeError::Invalid);
            }
        }
        Ok(())
    }
}
