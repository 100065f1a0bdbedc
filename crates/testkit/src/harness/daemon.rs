use {
    super::{binaries::binaries_dir, poll::HarnessError},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        collections::BTreeMap,
        fs,
        io::{BufRead, BufReader, Read},
        net::SocketAddr,
        path::Path,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Timeout until a daemon listens.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Length of a kernel clock tick, in milliseconds.
const MS_PER_TICK: u64 = 10;

/// Size of a memory page, in KiB.
const KIB_PER_PAGE: u64 = 4;

/// Captured output of a daemon; `line_added` is notified on each new line.
#[derive(Debug, Default)]
struct Output {
    lines: Mutex<Vec<String>>,
    line_added: Condvar,
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A daemon process; killed and reaped on drop.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    output: Arc<Output>,
    ports: BTreeMap<String, SocketAddr>,
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    ///
    /// # Errors
    ///
    /// When it can't be built or started, or doesn't listen in time; includes its output.
    pub fn start(
        name: &str,
        settings: &Path,
    ) -> Result<Self, HarnessError> {
        let mut child = Command::new(binaries_dir()?.join(name))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::new(Output::default());
        capture_lines(child.stdout.take(), &output);
        capture_lines(child.stderr.take(), &output);
        let mut daemon = Self {
            child,
            output,
            ports: BTreeMap::new(),
        };
        daemon.ports = daemon.wait_for_ports(name)?;
        Ok(daemon)
    }

    /// Address of a port, by its name in the `event=listening` line.
    ///
    /// # Panics
    ///
    /// When the daemon has no port with this name.
    pub fn port(
        &self,
        name: &str,
    ) -> SocketAddr {
        self.ports[name]
    }

    /// All lines of output so far.
    pub fn lines(&self) -> Vec<String> {
        self.output.lock().clone()
    }

    /// Sends a signal to the process; returns whether it was delivered.
    pub fn signal(
        &self,
        signal: Signal,
    ) -> bool {
        kill(Pid::from_raw(self.child.id() as i32), signal).is_ok()
    }

    /// CPU time used so far, in milliseconds; 0 if unknown.
    pub fn cpu_ms(&self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat
            .rsplit_once(") ")
            .map_or("", |(_, rest)| rest)
            .split(' ');
        let ticks: u64 = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        ticks * MS_PER_TICK
    }

    /// Resident memory, in KiB; 0 if unknown.
    pub fn resident_kib(&self) -> u64 {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.child.id()));
        let statm = statm.unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
        pages.unwrap_or(0u64) * KIB_PER_PAGE
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Exit status, `None` while the process runs.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    fn wait_for_ports(
        &mut self,
        name: &str,
    ) -> Result<BTreeMap<String, SocketAddr>, HarnessError> {
        let start = Instant::now();
        let output = Arc::clone(&self.output);
        let mut lines = output.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains("event=listening")) {
                return Ok(parse_ports(line));
            }
            let remaining = START_TIMEOUT.saturating_sub(start.elapsed());
            if remaining.is_zero() || self.ended().is_some() {
                return Err(HarnessError::Timeout {
                    condition: format!("{name} listens"),
                    timeout: START_TIMEOUT,
                    last_state: lines.join("\n"),
                });
            }
            let pause = remaining.min(Duration::from_millis(100));
            lines = match output.line_added.wait_timeout(lines, pause) {
                Ok((lines, _)) => lines,
                Err(poisoned) => poisoned.into_inner().0,
            };
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn capture_lines<R>(
    from: Option<R>,
    output: &Arc<Output>,
) where
    R: Read + Send + 'static,
{
    let output = Arc::clone(output);
    let reader = from.map(BufReader::new);
    thread::spawn(move || {
        for line in reader
            .into_iter()
            .flat_map(BufRead::lines)
            .map_while(Result::ok)
        {
            output.lock().push(line);
            output.line_added.notify_all();
        }
    });
}

fn parse_ports(line: &str) -> BTreeMap<String, SocketAddr> {
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}
