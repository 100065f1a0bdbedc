//! Callers that keep their connections until a VM closes them, reuse them after a long idle time, and pipeline.

use {
    super::{
        breaks::{Break, NOTE_DELAY},
        callers::{
            CallResult, Place, READ_TIMEOUT, REQUEST_INTERVAL, Record, is_reusable, pause_after,
            request,
        },
        cluster::Cluster,
        vm_log::VmLog,
    },
    crate::deployment::{Request, read_next_response},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        io::{ErrorKind, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The idle time-out in force, in milliseconds.
pub type IdleTimeout = Arc<AtomicU64>;

/// Part of the idle time-out for which callers leave a connection idle at most.
const REUSED_SHARE: f64 = 0.8;
/// Part of the requests that are sent right after another one.
const PIPELINED_SHARE: f64 = 0.3;
/// Part of the pauses between requests that are long.
const LONG_IDLE_SHARE: f64 = 0.5;
/// How long a replaced configuration may still be in force.
const CHANGE_TIME: Duration = Duration::from_secs(3);
const TARGETS: [(&str, &str); 7] = [
    ("GET", "/read/x"),
    ("POST", "/flow/x"),
    ("GET", "/moved/x"),
    ("POST", "/write/x"),
    ("GET", "/split/x"),
    ("GET", "/extra/x"),
    ("GET", "/small/x"),
];

/// A connection that a VM closed between two requests.
#[derive(Clone, Copy, Debug)]
pub struct IdleClose {
    pub vm: usize,
    pub connected: Instant,
    pub idle_since: Instant,
    pub closed: Instant,
}

struct OpenConnection {
    stream: TcpStream,
    /// What was received beyond the last response.
    received: Vec<u8>,
    vm: usize,
    connected: Instant,
    /// When the last response ended.
    idle_since: Option<Instant>,
}

impl OpenConnection {
    fn open(
        vm: usize,
        address: SocketAddr,
    ) -> Option<Self> {
        let stream = TcpStream::connect(address).ok()?;
        Some(Self {
            stream,
            received: Vec::new(),
            vm,
            connected: Instant::now(),
            idle_since: None,
        })
    }

    /// Sends requests at once and reads their responses; returns whether the connection can be reused.
    fn call(
        &mut self,
        targets: &[(&'static str, &'static str)],
        records: &mut Vec<Record>,
    ) -> bool {
        let requests: Vec<Request> = targets
            .iter()
            .map(|(method, target)| request(method, target, 0))
            .collect();
        let bytes: Vec<u8> = requests.iter().flat_map(Request::bytes).collect();
        let sent = Instant::now();
        let idle = self.idle_since.map(|since| sent.duration_since(since));
        self.stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let is_sent = self.stream.write_all(&bytes).is_ok();
        let mut place = idle.map_or(Place::First, Place::Reused);
        let mut can_reuse = is_sent;
        for (req, (_, target)) in requests.iter().zip(targets) {
            let response = is_sent
                .then(|| read_next_response(&mut self.stream, &mut self.received))
                .flatten();
            let result = response.map_or(CallResult::NoResponse, CallResult::Response);
            let (is_answered, stays_open) = match &result {
                CallResult::Response(response) => (response.is_complete, is_reusable(response)),
                CallResult::NoResponse => (false, false),
            };
            can_reuse &= stays_open;
            records.push(Record {
                id: req.id().to_owned(),
                vm: self.vm,
                connected: self.connected,
                sent,
                ended: Instant::now(),
                place,
                target,
                bad_part: None,
                resumes: None,
                result,
            });
            place = Place::Behind {
                is_first_answered: is_answered,
            };
        }
        self.idle_since = Some(Instant::now());
        can_reuse
    }

    /// Leaves the connection idle; returns its close if the VM closes it meanwhile.
    fn wait(
        &self,
        time: Duration,
    ) -> Option<IdleClose> {
        let idle_since = self.idle_since?;
        self.stream.set_read_timeout(Some(time)).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        let is_open = peeked
            .as_ref()
            .is_err_and(|e| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
        (!is_open).then(|| IdleClose {
            vm: self.vm,
            connected: self.connected,
            idle_since,
            closed: Instant::now(),
        })
    }
}

/// Sends requests over connections that it keeps.
pub fn run_caller(
    vm: usize,
    address: SocketAddr,
    seed: u64,
    idle_timeout: &IdleTimeout,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
    idle_closes: &Mutex<Vec<IdleClose>>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pause = REQUEST_INTERVAL;
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(pause);
        pause = REQUEST_INTERVAL;
        let Some(mut connection) = OpenConnection::open(vm, address) else {
            continue;
        };
        loop {
            let target = TARGETS[rng.random_range(0..TARGETS.len())];
            let next = TARGETS[rng.random_range(0..TARGETS.len())];
            let is_pipelined = rng.random_bool(PIPELINED_SHARE);
            let targets = [target, next];
            let targets = if is_pipelined {
                &targets
            } else {
                &targets[..1]
            };
            let mut attempts = Vec::new();
            let can_reuse = connection.call(targets, &mut attempts);
            let pauses = attempts.iter().map(|record| pause_after(&record.result));
            pause = pauses.max().unwrap_or(REQUEST_INTERVAL);
            records.lock().unwrap().extend(attempts);
            if !can_reuse || stop.load(Ordering::Relaxed) {
                break;
            }
            let longest = Duration::from_millis(idle_timeout.load(Ordering::Relaxed));
            let idle = if rng.random_bool(LONG_IDLE_SHARE) {
                longest.mul_f64(REUSED_SHARE)
            } else {
                REQUEST_INTERVAL
            };
            if let Some(close) = connection.wait(idle) {
                idle_closes.lock().unwrap().push(close);
                break;
            }
        }
    }
}

/// A connection stays open for the longest idle time-out that may be in force, but while its VM is being stopped.
pub fn check_idle_closes(
    cluster: &Cluster,
    logs: &[VmLog],
    idle_closes: &[IdleClose],
) -> Vec<String> {
    let mut too_early = Vec::new();
    for close in idle_closes {
        let &IdleClose {
            vm,
            connected,
            idle_since,
            closed,
        } = close;
        let breaks = &cluster.breaks;
        let is_expected = breaks.overlap(&Break::Process(vm), idle_since, closed)
            || breaks.overlap(&Break::Closing(vm), closed, closed)
            || breaks.overlap(&Break::CallerLink(vm), idle_since, closed)
            || breaks.overlap(&Break::CallerConnections(vm), connected, closed);
        let idle = closed.duration_since(idle_since);
        let longest = longest_idle_timeout(cluster, &logs[vm], closed);
        if !is_expected && idle + NOTE_DELAY < longest {
            too_early.push(format!(
                "VM {vm} closed a connection at {:?} that was idle for {idle:?} of {longest:?}",
                cluster.age_of(closed)
            ));
        }
    }
    println!("{} connections closed between requests", idle_closes.len());
    too_early
}

/// The longest idle time-out that a VM's callers may have relied on.
fn longest_idle_timeout(
    cluster: &Cluster,
    log: &VmLog,
    at: Instant,
) -> Duration {
    let taken: Vec<(u64, Instant)> = log
        .configs_taken()
        .filter(|&(_, taken)| taken <= at)
        .collect();
    let replaced = taken.iter().skip(1).map(|&(_, next)| Some(next));
    let replaced = replaced.chain([None]);
    let in_force = taken
        .iter()
        .zip(replaced)
        .filter(|(_, replaced)| replaced.is_none_or(|replaced| replaced + CHANGE_TIME >= at));
    let timeouts = in_force.filter_map(|((version, _), _)| {
        let mut published = cluster.published.iter();
        let published = published.find(|published| published.version == *version)?;
        Some(published.idle_timeout)
    });
    timeouts.max().unwrap_or_default()
}
