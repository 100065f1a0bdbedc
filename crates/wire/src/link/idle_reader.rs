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

/// A reader that fails with `TimedOut` when no data has arrived for `limit`.
///
/// A peer that disappears without closing its connection leaves it half-open. Such connections would
/// accumulate until the process runs out of file descriptors.
#[derive(Debug)]
pub(super) struct IdleReader<R> {
    inner: R,
    limit: Millis,
    sleep: Pin<Box<Sleep>>,
}

impl<R> IdleReader<R> {
    pub(super) fn new(
        inner: R,
        limit: Millis,
    ) -> Self {
        Self {
            inner,
            limit,
            sleep: Box::pin(sleep(limit.to_std())),
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
            let until = Instant::now() + self.limit.to_std();
            self.sleep.as_mut().reset(until);
            return Poll::Ready(result);
        }
        ready!(self.sleep.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}
