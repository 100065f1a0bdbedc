//! Callers that read slowly, and bursts beyond the capacity of a service.

use {
    super::{
        callers::{CallResult, Place, READ_TIMEOUT, Record, request},
        checks::count_served,
        cluster::Herd,
        configuration::BURST_ACCOUNTS,
        disturbances::Disturbances,
        fault::VMS,
    },
    crate::deployment::{Response, read_next_response},
    jasmine_core::error::{ErrorKind, RetryAfter},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        ops::Range,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Separates the draws of bursts and slow callers from those of faults.
const LOAD_SEED: u64 = 0x0010_ad5e;
/// Callers of each VM that read slowly.
const SLOW_CALLERS_PER_VM: u64 = 2;
/// Bytes that they read at a time, and the pause before each read.
const SLOW_READ_BYTES: usize = 16;
const SLOW_READ_MS: Range<u64> = 1..15;
/// Time between two bursts, in milliseconds, and the requests of one.
const BURST_INTERVAL_MS: Range<u64> = 1_000..3_000;
const BURST_REQUESTS: Range<usize> = 20..90;
/// How long the callers of a burst wait; the service answers some 60 requests within it.
const BURST_PATIENCE_MS: &str = "1000";
/// Least requests of bursts that VMs in touch answer for a check of how many they serve.
const MIN_CALM_REQUESTS: usize = 50;
/// Statuses of refusals that an overload excuses.
const OVERLOAD_STATUSES: [u16; 2] = [429, 503];

/// Reads a few bytes at a time.
struct SlowReader<'a> {
    stream: &'a mut TcpStream,
    pause: Duration,
}

impl Read for SlowReader<'_> {
    fn read(
        &mut self,
        buf: &mut [u8],
    ) -> io::Result<usize> {
        thread::sleep(self.pause);
        let len = buf.len().min(SLOW_READ_BYTES);
        self.stream.read(&mut buf[..len])
    }
}

/// Starts the callers that read slowly, and one that sends bursts.
pub fn start(
    vms: &[SocketAddr],
    herd: &Herd,
    seed: u64,
    stop: &Arc<AtomicBool>,
    records: &Arc<Mutex<Vec<Record>>>,
) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for (vm, &address) in vms.iter().enumerate() {
        for number in 0..SLOW_CALLERS_PER_VM {
            let rng =
                ChaCha8Rng::seed_from_u64(seed ^ LOAD_SEED ^ (vm as u64) << 32 ^ number << 40);
            let (stop, records) = (Arc::clone(stop), Arc::clone(records));
            threads.push(thread::spawn(move || {
                read_slowly(vm, address, rng, &stop, &records);
            }));
        }
    }
    let rng = ChaCha8Rng::seed_from_u64(seed ^ LOAD_SEED);
    let (vms, herd) = (vms.to_vec(), Arc::clone(herd));
    let (stop, records) = (Arc::clone(stop), Arc::clone(records));
    threads.push(thread::spawn(move || {
        send_bursts(&vms, &herd, rng, &stop, &records);
    }));
    threads
}

fn read_slowly(
    vm: usize,
    address: SocketAddr,
    mut rng: ChaCha8Rng,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    while !stop.load(Ordering::Relaxed) {
        let pause = Duration::from_millis(rng.random_range(SLOW_READ_MS));
        let (method, target) = match rng.random_range(0..3) {
            0 => ("GET", "/read/x"),
            1 => ("POST", "/write/x"),
            _ => ("POST", "/flow/x"),
        };
        let record = send(vm, address, method, target, None, pause);
        records.lock().unwrap().extend(record);
        thread::sleep(pause);
    }
}

/// Sends bursts of requests of several priorities to all VMs.
fn send_bursts(
    vms: &[SocketAddr],
    herd: &Herd,
    mut rng: ChaCha8Rng,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.random_range(BURST_INTERVAL_MS)));
        let count = rng.random_range(BURST_REQUESTS);
        let herded = herd.load(Ordering::Relaxed);
        thread::scope(|scope| {
            for number in 0..count {
                let vm = if herded < VMS { herded } else { number % VMS };
                let account = &BURST_ACCOUNTS[rng.random_range(0..BURST_ACCOUNTS.len())];
                let address = vms[vm];
                scope.spawn(move || {
                    let key = Some(account.key);
                    let record = send(vm, address, "GET", account.target, key, Duration::ZERO);
                    records.lock().unwrap().extend(record);
                });
            }
        });
    }
}

/// Sends one request over a new connection and reads its response slowly; none if it can't connect.
fn send(
    vm: usize,
    address: SocketAddr,
    method: &'static str,
    target: &'static str,
    key: Option<&str>,
    pause: Duration,
) -> Option<Record> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut req = request(method, target, 0);
    if let Some(key) = key {
        req = req
            .with("X-Api-Key", key)
            .with("X-Deadline-Ms", BURST_PATIENCE_MS);
    }
    let sent = Instant::now();
    let is_sent = stream.write_all(&req.bytes()).is_ok();
    let mut reader = SlowReader {
        stream: &mut stream,
        pause,
    };
    let response = is_sent.then(|| read_next_response(&mut reader, &mut Vec::new()));
    Some(Record {
        id: req.id().to_owned(),
        vm,
        connected: sent,
        sent,
        ended: Instant::now(),
        place: Place::First,
        target,
        bad_part: None,
        resumes: None,
        result: response
            .flatten()
            .map_or(CallResult::NoResponse, CallResult::Response),
    })
}

/// Whether a request belongs to a burst.
pub fn is_of_burst(record: &Record) -> bool {
    BURST_ACCOUNTS
        .iter()
        .any(|account| account.target == record.target)
}

/// Whether a request of a burst was refused as its caller may be under overload: it can tell when to come back.
fn is_overload_refusal(record: &Record) -> bool {
    let CallResult::Response(response) = &record.result else {
        return false;
    };
    is_of_burst(record)
        && OVERLOAD_STATUSES.contains(&response.status)
        && names_due_return(response)
}

/// Refusals of bursts name a time to come back where the error asks for one, and VMs in touch serve a quarter of the
/// requests that they answer: the service can do half of the largest burst within its callers' patience.
pub fn check_bursts(
    disturbances: &Disturbances,
    records: &[Record],
) -> Vec<String> {
    let of_bursts = || records.iter().filter(|record| is_of_burst(record));
    let (answered, served) = count_served(of_bursts());
    let refused = of_bursts()
        .filter(|record| is_overload_refusal(record))
        .count();
    println!("bursts: {served} served, {refused} refused of {answered} answered");
    let in_touch = of_bursts().filter(|record| disturbances.is_in_touch(record.vm, record.sent));
    let (calm_answered, calm_served) = count_served(in_touch);
    let mut violations = Vec::new();
    if calm_answered >= MIN_CALM_REQUESTS && calm_served * 4 < calm_answered {
        violations.push(format!(
            "{calm_served} of {calm_answered} of bursts served by VMs in touch"
        ));
    }
    let unnamed = of_bursts().filter_map(|record| {
        let CallResult::Response(response) = &record.result else {
            return None;
        };
        let is_refusal = OVERLOAD_STATUSES.contains(&response.status);
        (is_refusal && !names_due_return(response)).then(|| {
            format!(
                "{} is refused without Retry-After: {}",
                record.id, response.head
            )
        })
    });
    violations.extend(unnamed);
    violations
}

/// Whether a refusal names a time to come back, if its error asks for one.
fn names_due_return(response: &Response) -> bool {
    let code = ErrorKind::ALL.into_iter().find(|kind| {
        let code = format!("\"error\":\"{}\"", kind.answer().code);
        response.text().contains(&code)
    });
    let is_due = code.is_none_or(|kind| kind.answer().retry_after != RetryAfter::Never);
    !is_due || response.header("retry-after").is_some()
}
