use {
    super::Line,
    flexi_logger::{DeferredNow, writers::LogWriter},
    log::{Level, Record},
    std::{
        io::{self, Write},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Maximum number of buffered bytes; a few seconds of logs of a busy VM.
const CAPACITY: usize = 256 << 10;
/// Maximum number of buffered bytes for lines below `warn`; the rest is reserved for warnings and errors.
const ORDINARY: usize = 128 << 10;
/// Delay between writes, which batches lines into fewer system calls.
const GATHER: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    has_some: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes log lines to a sink from a dedicated thread.
///
/// Logging never blocks the daemon, even if the reader of the sink stalls. Lines that don't fit into the
/// buffer are dropped, those below `warn` first, and a `log_dropped` line reports their number.
#[derive(Debug)]
pub struct BoundedWriter {
    shared: Arc<Shared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl BoundedWriter {
    /// Starts a thread that writes to `sink`.
    pub fn new<W>(sink: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let shared = Arc::new(Shared::default());
        let drained = Arc::clone(&shared);
        let thread = thread::spawn(move || drain(&drained, sink));
        Self {
            shared,
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Appends a whole line to the buffer, or drops it if the buffer is full.
    pub fn take(
        &self,
        level: Level,
        line: &[u8],
    ) {
        let mut waiting = self.shared.lock();
        let room = if level <= Level::Warn {
            CAPACITY
        } else {
            ORDINARY
        };
        if waiting.bytes.len() + line.len() > room {
            waiting.dropped += 1;
            return;
        }
        waiting.bytes.extend_from_slice(line);
        self.shared.has_some.notify_one();
    }
}

impl LogWriter for BoundedWriter {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
    ) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        super::output::format_line(&mut line, now, record)?;
        line.push(b'\n');
        self.take(record.level(), &line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    /// Writes the buffered lines and joins the thread.
    fn shutdown(&self) {
        self.shared.lock().is_closed = true;
        self.shared.has_some.notify_one();
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(thread) = thread {
            // After a panic of the thread nothing more can be written.
            drop(thread.join());
        }
    }
}

fn drain<W>(
    shared: &Shared,
    mut sink: W,
) where
    W: Write,
{
    loop {
        let mut waiting = shared.lock();
        while waiting.bytes.is_empty() && waiting.dropped == 0 && !waiting.is_closed {
            waiting = shared
                .has_some
                .wait(waiting)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let is_closed = waiting.is_closed;
        let mut bytes = std::mem::take(&mut waiting.bytes);
        let dropped = std::mem::take(&mut waiting.dropped);
        drop(waiting);
        if dropped > 0 {
            let line = Line::new("log_dropped").with("lines", dropped);
            bytes.extend_from_slice(format!("level=warn {}\n", line.as_str()).as_bytes());
        }
        // A write error can't be reported, because this is the log itself.
        let _broken = sink.write_all(&bytes).and_then(|()| sink.flush());
        if is_closed {
            return;
        }
        thread::sleep(GATHER);
    }
}
