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

/// Bytes that may wait to be written: some seconds of a busy VM.
const CAPACITY: usize = 256 << 10;
/// Beyond this many waiting bytes ordinary lines are dropped, so that what matters still finds room.
const ORDINARY: usize = 128 << 10;
/// Lines are gathered for this long: a write for each would cost more than the line.
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

/// Writes lines to a sink from a thread of its own.
///
/// A reader that doesn't read would otherwise stop the daemon at its next line, and its callers would wait with it.
/// Here lines that find no room are dropped, ordinary ones first, and a line says how many.
#[derive(Debug)]
pub struct BoundedWriter {
    shared: Arc<Shared>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl BoundedWriter {
    /// A writer to `sink`.
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

    /// Takes a whole line if there is room for it.
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

    /// Writes what waits and ends the thread.
    fn shutdown(&self) {
        self.shared.lock().is_closed = true;
        self.shared.has_some.notify_one();
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(thread) = thread {
            // A thread that has panicked has nothing left to write.
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
        // Nobody is left to tell that nobody reads.
        let _broken = sink.write_all(&bytes).and_then(|()| sink.flush());
        if is_closed {
            return;
        }
        thread::sleep(GATHER);
    }
}
