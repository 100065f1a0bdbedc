//! Requests under which upstreams end: few reach upstreams once three have ended, and the others are served.

use {
    super::disturbances::Disturbances,
    crate::deployment::{Request, read_response},
    jasmine_platform_stand_in::{Behaviour, EndAt, UpstreamStandIn},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde_json::Value,
    std::{
        collections::HashMap,
        io::Write,
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

pub const ENDING_UPSTREAMS: usize = 4;
pub const ENDING_SERVICE: &str = "ending";
/// Separates the draws of these callers from the faults.
const CALLER_SEED: u64 = 0x00de_ad1e;
/// Ends of upstreams under a request from which it may hardly be sent again.
const MAX_ENDS: usize = 3;
/// How often it may be sent all the same, as VMs are killed, suspended and cut off meanwhile.
const MAX_LATE: usize = 3;
/// Callers with sound requests, each with bodies of its own.
const SOUND_CALLERS: usize = 3;
/// Sound requests from which on their share is looked at.
const MIN_SOUND: usize = 20;
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause of a caller between two attempts, in milliseconds.
const RETRY_MS: Range<u64> = 60..400;
const SOUND_PAUSE: Duration = Duration::from_millis(25);
const EVENTS: u64 = 8;
/// The requests under which upstreams end: a text in their bodies, their target and the point of the exchange.
const DEADLY: [(&str, &str, EndAt); 4] = [
    ("deadly-head", "/end/x", EndAt::Head),
    ("deadly-body", "/end/x", EndAt::Body),
    ("deadly-events", "/endstream/x", EndAt::Events(2)),
    (
        "deadly-late",
        "/endstream/x",
        EndAt::Late(Duration::from_millis(1_200)),
    ),
];

/// An upstream that ends under some requests, and registers itself anew each time it starts.
pub struct EndingUpstream {
    stand_in: UpstreamStandIn,
    address: Option<SocketAddr>,
    ends: usize,
}

impl EndingUpstream {
    pub fn start(number: usize) -> Self {
        let stand_in = UpstreamStandIn::start(&format!("d-{number}")).unwrap();
        stand_in.set_default(Behaviour::Events(EVENTS));
        for (text, _, at) in DEADLY {
            stand_in.end_under(text, at);
        }
        Self {
            stand_in,
            address: None,
            ends: 0,
        }
    }

    /// Sets the address of its proxy.
    pub const fn set_address(
        &mut self,
        address: SocketAddr,
    ) {
        self.address = Some(address);
    }

    pub fn key(&self) -> String {
        self.stand_in.key()
    }

    pub fn entry(&self) -> Value {
        self.stand_in.entry(ENDING_SERVICE, "one", "ready")
    }

    pub fn end(&self) {
        if !self.stand_in.is_down() {
            self.stand_in.end();
        }
    }

    /// Whether it has ended or started since the last step.
    pub fn step(&mut self) -> EndingStep {
        let ends = self.stand_in.ends().len();
        match self.address {
            Some(address) if ends > self.ends => {
                self.ends = ends;
                self.address = None;
                EndingStep::Ended(address)
            }
            None if !self.stand_in.is_down() => EndingStep::Started,
            Some(_) | None => EndingStep::Unchanged,
        }
    }
}

/// What has become of an upstream.
pub enum EndingStep {
    Unchanged,
    /// It has ended; its proxy has this address.
    Ended(SocketAddr),
    /// It is to be registered anew.
    Started,
}

/// A request with the ids of its attempts.
pub struct EndingCall {
    /// The text under which upstreams end; `None` for a sound one.
    text: Option<&'static str>,
    ids: Vec<String>,
    sent: Instant,
    /// The VM of a sound one.
    vm: usize,
    is_served: bool,
}

/// Callers of the service whose upstreams end.
pub struct EndingCallers {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<EndingCall>>>,
    threads: Vec<JoinHandle<()>>,
}

impl EndingCallers {
    /// Starts them; each request under which upstreams end begins at some time within `length`.
    pub fn start(
        vms: &[SocketAddr],
        seed: u64,
        length: Duration,
    ) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let calls = Arc::<Mutex<Vec<EndingCall>>>::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ CALLER_SEED);
        let mut threads = Vec::new();
        for (number, (text, target, _)) in DEADLY.into_iter().enumerate() {
            let delay = length.mul_f64(rng.random_range(0.0..0.7));
            let mut vms = vms.to_vec();
            let first = number % vms.len();
            vms.rotate_left(first);
            let rng = ChaCha8Rng::seed_from_u64(rng.random());
            let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
            threads.push(thread::spawn(move || {
                thread::sleep(delay);
                let call = repeat(&vms, (text, target), rng, &stop);
                calls.lock().unwrap().push(call);
            }));
        }
        for number in 0..SOUND_CALLERS {
            let vm = number % vms.len();
            let address = vms[vm];
            let (stop, calls) = (Arc::clone(&stop), Arc::clone(&calls));
            threads.push(thread::spawn(move || {
                let mut turn = 0;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let target = ["/end/x", "/endstream/x"][turn % 2];
                    let body = format!("sound-{number}-{turn}");
                    let req = Request::new("POST", target).body(body.as_bytes());
                    let sent = Instant::now();
                    let is_served = send(address, &req);
                    calls.lock().unwrap().push(EndingCall {
                        text: None,
                        ids: vec![req.id().to_owned()],
                        sent,
                        vm,
                        is_served,
                    });
                    thread::sleep(SOUND_PAUSE);
                }
            }));
        }
        Self {
            stop,
            calls,
            threads,
        }
    }

    pub fn finish(self) -> Vec<EndingCall> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        std::mem::take(&mut self.calls.lock().unwrap())
    }
}

/// Sends a request under which upstreams end through one VM after the other, each time under another id.
fn repeat(
    vms: &[SocketAddr],
    (text, target): (&'static str, &'static str),
    mut rng: ChaCha8Rng,
    stop: &AtomicBool,
) -> EndingCall {
    let mut call = EndingCall {
        text: Some(text),
        ids: Vec::new(),
        sent: Instant::now(),
        vm: 0,
        is_served: false,
    };
    for &address in vms.iter().cycle() {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let req = Request::new("POST", target).body(text.as_bytes());
        call.is_served |= send(address, &req);
        call.ids.push(req.id().to_owned());
        thread::sleep(Duration::from_millis(rng.random_range(RETRY_MS)));
    }
    call
}

fn send(
    address: SocketAddr,
    req: &Request,
) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let response = stream
        .write_all(&req.bytes())
        .ok()
        .and_then(|()| read_response(&mut stream));
    response.is_some_and(|response| response.status == 200 && response.is_complete)
}

/// Few requests reach upstreams once three have ended under them, and at least half of the sound ones are served that
/// reach VMs in touch.
pub fn check_ending(
    upstreams: &[EndingUpstream],
    disturbances: &Disturbances,
    calls: &[EndingCall],
) -> Vec<String> {
    let deadly = calls.iter().filter(|call| call.text.is_some());
    let mut violations: Vec<String> = deadly
        .filter_map(|call| check_deadly(upstreams, call))
        .collect();
    let is_sound =
        |call: &&EndingCall| call.text.is_none() && disturbances.is_in_touch(call.vm, call.sent);
    let sound: Vec<&EndingCall> = calls.iter().filter(is_sound).collect();
    let served = sound.iter().filter(|call| call.is_served).count();
    println!(
        "{served} of {} sound requests beside ends served",
        sound.len()
    );
    if sound.len() >= MIN_SOUND && served * 2 < sound.len() {
        violations.push(format!(
            "only {served} of {} sound requests beside ends served",
            sound.len()
        ));
    }
    violations
}

fn check_deadly(
    upstreams: &[EndingUpstream],
    call: &EndingCall,
) -> Option<String> {
    let text = call.text?;
    let all_ends = upstreams.iter().flat_map(|one| one.stand_in.ends());
    let by_id: HashMap<String, Instant> = all_ends
        .filter_map(|end| Some((end.request_id?, end.at)))
        .collect();
    let own = call.ids.iter().filter_map(|id| by_id.get(id));
    let mut ends: Vec<Instant> = own.copied().collect();
    ends.sort();
    let third = ends.get(MAX_ENDS - 1).copied();
    let arrivals = upstreams.iter().flat_map(|one| one.stand_in.arrivals());
    let own = arrivals.filter(|arrival| call.ids.contains(&arrival.request_id));
    let late = own.filter(|arrival| third.is_some_and(|third| arrival.at > third));
    let late = late.count();
    println!(
        "{text}: {} ends, {late} later, {} attempts in {:?}",
        ends.len(),
        call.ids.len(),
        call.sent.elapsed()
    );
    (late > MAX_LATE).then(|| {
        format!(
            "{text} was sent {late} times after {MAX_ENDS} upstreams had ended, {} in all",
            ends.len()
        )
    })
}
