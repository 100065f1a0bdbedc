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
const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// Maximum number of buffered bytes for lines below `warn`; the rest is reserved for warnings and errors.
const MAX_BUFFERED_BYTES_BELOW_WARN: usize = 128 << 10;
/// Delay between writes, which batches lines into fewer system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
    is_closed: bool,
}

#[derive(Debug, Default)]
struct Shared {
    buffer: Mutex<Buffer>,
    changed: Condvar,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
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
        let thread_shared = Arc::clone(&shared);
        let thread = thread::spawn(move || write_loop(&thread_shared, sink));
        Self {
            shared,
            thread: Mutex::new(Some(thread)),
        }
    }

    /// Appends a whole line to the buffer, or drops it if the buffer is full.
    pub fn push(
        &self,
        level: Level,
        line: &[u8],
    ) {
        let mut buffer = self.shared.lock();
        let max_bytes = if level <= Level::Warn {
            MAX_BUFFERED_BYTES
        } else {
            MAX_BUFFERED_BYTES_BELOW_WARN
        };
        if buffer.bytes.len() + line.len() > max_bytes {
            buffer.dropped += 1;
            return;
        }
        buffer.bytes.extend_from_slice(line);
        self.shared.changed.notify_one();
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
        self.push(record.level(), &line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }

    /// Writes the buffered lines and joins the thread.
    fn shutdown(&self) {
        self.shared.lock().is_closed = true;
        self.shared.changed.notify_one();
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

fn write_loop<W>(
    shared: &Shared,
    mut sink: W,
) where
    W: Write,
{
    loop {
        let mut buffer = shared.lock();
        while buffer.bytes.is_empty() && buffer.dropped == 0 && !buffer.is_closed {
            buffer = shared
                .changed
                .wait(buffer)
                .unwrap_or_else(PoisonError::into_inner);
        }
        let is_closed = buffer.is_closed;
        let mut bytes = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        drop(buffer);
        if dropped > 0 {
            let line = Line::new("log_dropped").with("lines", dropped);
            let time = super::output::format_time(&mut DeferredNow::new());
            let text = format!("time={time} level=warn {}\n", line.as_str());
            bytes.extend_from_slice(text.as_bytes());
        }
        // A write error can't be reported, because this is the log itself.
        let _broken = sink.write_all(&bytes).and_then(|()| sink.flush());
        if is_closed {
            return;
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
