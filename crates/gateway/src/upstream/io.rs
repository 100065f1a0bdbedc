use {
    actix_rt::net::{ActixStream, Ready, TcpStream},
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Records whether any byte was written to a connection.
#[derive(Clone, Debug, Default)]
pub struct BytesWritten(Rc<Cell<bool>>);

impl BytesWritten {
    /// Whether any byte may have been written.
    pub fn any(&self) -> bool {
        self.0.get()
    }

    fn set(&self) {
        self.0.set(true);
    }
}

/// A connection to an upstream that reports EOF as an error and records the first write.
#[derive(Debug)]
pub struct UpstreamIo {
    stream: TcpStream,
    written: BytesWritten,
}

impl UpstreamIo {
    /// Wraps a TCP stream.
    pub const fn new(
        stream: TcpStream,
        written: BytesWritten,
    ) -> Self {
        Self { stream, written }
    }
}

impl AsyncRead for UpstreamIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let had_room = buf.remaining() > 0;
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) if had_room && buf.filled().len() == before => {
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            polled => polled,
        }
    }
}

impl AsyncWrite for UpstreamIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        // Recorded before the write, since a failed write may have sent bytes.
        self.written.set();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.written.set();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for UpstreamIo {
    fn poll_read_ready(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
