use {
    super::{HttpError, ResponseCheck},
    actix_rt::net::{ActixStream, Ready},
    bytes::{Buf, BytesMut},
    jasmine_telemetry::log::Line,
    std::{
        io,
        mem::MaybeUninit,
        net::SocketAddr,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Bytes read at a time.
const READ_BYTES: usize = 8 << 10;

/// A connection of an HTTP client whose reads return only bytes of acceptable responses.
///
/// Bytes that are no response, and those that follow one without a request, are an error of kind
/// [`io::ErrorKind::InvalidData`], upon which the client closes the connection. The client must have sent a request
/// before it reads the response, and must not send `Expect`, as interim responses are dropped.
#[derive(Debug)]
pub struct CheckedIo<Io> {
    io: Io,
    peer: SocketAddr,
    check: ResponseCheck,
    /// Checked bytes that were not read yet.
    checked: BytesMut,
}

impl<Io> CheckedIo<Io> {
    /// Wraps an open connection to `peer` that has carried nothing.
    pub fn new(
        io: Io,
        peer: SocketAddr,
    ) -> Self {
        Self {
            io,
            peer,
            check: ResponseCheck::default(),
            checked: BytesMut::new(),
        }
    }

    fn reject(
        &self,
        e: HttpError,
    ) -> io::Error {
        match e {
            HttpError::Truncated => io::Error::new(io::ErrorKind::UnexpectedEof, e),
            e => {
                Line::new("answer_rejected")
                    .with("address", self.peer)
                    .with("reason", e)
                    .warn();
                io::Error::new(io::ErrorKind::InvalidData, e)
            }
        }
    }
}

impl<Io> AsyncRead for CheckedIo<Io>
where
    Io: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        while this.checked.is_empty() {
            if let Some(e) = this.check.error() {
                return Poll::Ready(Err(this.reject(e)));
            }
            let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
            let mut received = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut this.io).poll_read(cx, &mut received))?;
            let result = match received.filled() {
                [] => return Poll::Ready(this.check.close().map_err(|e| this.reject(e))),
                filled => this.check.receive(filled, &mut this.checked),
            };
            if let Err(e) = result {
                this.checked.clear();
                return Poll::Ready(Err(this.reject(e)));
            }
        }
        let len = this.checked.len().min(buf.remaining());
        buf.put_slice(&this.checked[..len]);
        this.checked.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl<Io> AsyncWrite for CheckedIo<Io>
where
    Io: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check.note_sent(buf);
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}

impl<Io> ActixStream for CheckedIo<Io>
where
    Io: ActixStream,
{
    fn poll_read_ready(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Ready>> {
        self.io.poll_read_ready(cx)
    }

    fn poll_write_ready(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Ready>> {
        self.io.poll_write_ready(cx)
    }
}
