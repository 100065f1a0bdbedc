use {
    jasmine_core::clock::Millis,
    std::{
        io,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, ReadBuf},
        time::{Instant, Sleep, sleep},
    },
};

/// A reader that fails with `TimedOut` when no data has arrived for `timeout`.
///
/// A peer that disappears without closing its connection leaves it half-open. Such connections would
/// accumulate until the process runs out of file descriptors.
#[derive(Debug)]
pub(super) struct IdleReader<R> {
    inner: R,
    timeout: Millis,
    sleep: Pin<Box<Sleep>>,
}

impl<R> IdleReader<R> {
    pub(super) fn new(
        inner: R,
        timeout: Millis,
    ) -> Self {
        Self {
            inner,
            timeout,
            sleep: Box::pin(sleep(timeout.to_std())),
        }
    }
}

impl<R> AsyncRead for IdleReader<R>
where
    R: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(cx, buf) {
            let deadline = Instant::now() + self.timeout.to_std();
            self.sleep.as_mut().reset(deadline);
            return Poll::Ready(result);
        }
        ready!(self.sleep.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}
