//! Clients that keep a connection until the VM closes it or is gone, and take up streams at the next VM.

use {
    super::{
        super::{
            callers::{CallResult, Place, Record, is_reusable, pause_after},
            resumed_streams::events_of,
        },
        routes::{ROUTES, Route},
        timed_reader::TimedReader,
        vm::VmAddress,
    },
    crate::deployment::{Request, read_next_response},
    std::{
        io::Write,
        net::TcpStream,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// How much longer than their deadline clients wait.
const PATIENCE: Duration = Duration::from_secs(2);
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Record>>>,
}

struct Client {
    vms: Vec<VmAddress>,
    vm: usize,
    route: &'static Route,
    records: Vec<Record>,
}

struct OpenConnection {
    stream: TcpStream,
    /// What was received beyond the last response.
    received: Vec<u8>,
    connected: Instant,
    place: Place,
}

impl Clients {
    pub fn start(vms: &[VmAddress]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for vm in 0..vms.len() {
            for route in &ROUTES {
                for _ in 0..route.clients {
                    let mut client = Client {
                        vms: vms.to_vec(),
                        vm,
                        route,
                        records: Vec::new(),
                    };
                    let stop = Arc::clone(&stop);
                    threads.push(thread::spawn(move || {
                        client.run(&stop);
                        client.records
                    }));
                }
            }
        }
        Self { stop, threads }
    }

    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        let records = self
            .threads
            .into_iter()
            .map(|thread| thread.join().unwrap());
        records.flatten().collect()
    }
}

impl Client {
    fn run(
        &mut self,
        stop: &AtomicBool,
    ) {
        while !stop.load(Ordering::Relaxed) {
            thread::sleep(REQUEST_INTERVAL);
            let Some(mut connection) = OpenConnection::open(&self.vms[self.vm]) else {
                continue;
            };
            while !stop.load(Ordering::Relaxed)
                && let Some(pause) = self.send(&mut connection)
            {
                thread::sleep(pause);
                connection.place = Place::Reused(pause);
            }
        }
    }

    /// Sends a request; returns the pause before the next one if the connection can be used again.
    fn send(
        &mut self,
        connection: &mut OpenConnection,
    ) -> Option<Duration> {
        let req = request(self.route);
        let record = connection.call(&req, self.vm, self.route, None);
        let stays_open =
            matches!(&record.result, CallResult::Response(response) if is_reusable(response));
        let pause = pause_after(&record.result);
        let last_event = events_of(&record.result).last().map(|event| event.id);
        let is_broken = self.route.is_resumable && !record.is_served();
        let first = record.id.clone();
        self.records.push(record);
        if let Some(last_event) = last_event.filter(|_| is_broken) {
            self.take_up(first, last_event);
        }
        stays_open.then_some(pause)
    }

    /// Goes on at the next VM with a stream that broke off.
    fn take_up(
        &mut self,
        first: String,
        last_event: u64,
    ) {
        let vm = (self.vm + 1) % self.vms.len();
        let Some(mut connection) = OpenConnection::open(&self.vms[vm]) else {
            return;
        };
        let req = request(self.route)
            .with("Last-Event-Id", &last_event.to_string())
            .with("Resumes", &first);
        let record = connection.call(&req, vm, self.route, Some(first));
        self.records.push(record);
    }
}

impl OpenConnection {
    fn open(address: &VmAddress) -> Option<Self> {
        let address = *address.lock().unwrap();
        let stream = TcpStream::connect(address).ok()?;
        Some(Self {
            stream,
            received: Vec::new(),
            connected: Instant::now(),
            place: Place::First,
        })
    }

    fn call(
        &mut self,
        req: &Request,
        vm: usize,
        route: &Route,
        resumes: Option<String>,
    ) -> Record {
        let time = Duration::from_millis(route.deadline_ms) + PATIENCE;
        let sent = Instant::now();
        let is_sent = self.stream.write_all(&req.bytes()).is_ok();
        let mut reader = TimedReader {
            stream: &self.stream,
            until: sent + time,
        };
        let response = is_sent
            .then(|| read_next_response(&mut reader, &mut self.received))
            .flatten();
        Record {
            id: req.id().to_owned(),
            vm,
            connected: self.connected,
            sent,
            ended: Instant::now(),
            place: self.place,
            target: route.target,
            bad_part: None,
            resumes,
            result: response.map_or(CallResult::NoResponse, CallResult::Response),
        }
    }
}

fn request(route: &Route) -> Request {
    let req = Request::new(route.method, route.target)
        .with("X-Deadline-Ms", &route.deadline_ms.to_string());
    match route.method {
        "POST" => req.body(b"something to do"),
        _ => req,
    }
}
