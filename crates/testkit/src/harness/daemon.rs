use {
    super::{binaries::built, poll::HarnessError},
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

/// How long a daemon may take until it listens.
const START_BOUND: Duration = Duration::from_secs(15);

/// Milliseconds of one tick in which the kernel counts processor time.
const MS_A_TICK: u64 = 10;

/// KiB of one page in which the kernel counts memory.
const KIB_A_PAGE: u64 = 4;

/// What a daemon wrote, with a bell for each line.
#[derive(Debug, Default)]
struct Output {
    lines: Mutex<Vec<String>>,
    grown: Condvar,
}

impl Output {
    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A daemon that runs as a process; killed and reaped when dropped.
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
    /// When it can't be built or started, or doesn't listen in time: with what it wrote.
    pub fn start(
        name: &str,
        settings: &Path,
    ) -> Result<Self, HarnessError> {
        let mut child = Command::new(built()?.join(name))
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let output = Arc::new(Output::default());
        collect(child.stdout.take(), &output);
        collect(child.stderr.take(), &output);
        let mut daemon = Self {
            child,
            output,
            ports: BTreeMap::new(),
        };
        daemon.ports = daemon.wait_for_ports(name)?;
        Ok(daemon)
    }

    /// The address of one of its ports, by the name in its `event=listening` line.
    ///
    /// # Panics
    ///
    /// When it has no such port: a defect of the test.
    pub fn port(
        &self,
        name: &str,
    ) -> SocketAddr {
        self.ports[name]
    }

    /// All lines that it wrote.
    pub fn lines(&self) -> Vec<String> {
        self.output.lock().clone()
    }

    /// Sends a signal to the process: whether there was one to take it.
    pub fn signal(
        &self,
        signal: Signal,
    ) -> bool {
        kill(Pid::from_raw(self.child.id() as i32), signal).is_ok()
    }

    /// Processor time that the process has used so far, in milliseconds; nought where it can't be told.
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
        ticks * MS_A_TICK
    }

    /// Memory that the process holds resident, in KiB; nought where it can't be told.
    pub fn resident_kib(&self) -> u64 {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.child.id()));
        let statm = statm.unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
        pages.unwrap_or(0u64) * KIB_A_PAGE
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// How the process ended; none while it runs.
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
                return Ok(ports(line));
            }
            let left = START_BOUND.saturating_sub(start.elapsed());
            if left.is_zero() || self.ended().is_some() {
                return Err(HarnessError::Late {
                    wanted: format!("{name} listens"),
                    bound: START_BOUND,
                    seen: lines.join("\n"),
                });
            }
            let pause = left.min(Duration::from_millis(100));
            lines = match output.grown.wait_timeout(lines, pause) {
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

fn collect<R>(
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
            output.grown.notify_all();
        }
    });
}

fn ports(line: &str) -> BTreeMap<String, SocketAddr> {
    let pairs = line
        .split_whitespace()
        .filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
        .collect()
}
