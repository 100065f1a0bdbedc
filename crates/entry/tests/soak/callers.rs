use {
    crate::deployment::{Request, Response, read_response},
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
};

/// Callers per VM.
const CALLERS_PER_VM: usize = 4;
/// Most requests per connection.
const MAX_REQUESTS_PER_CONNECTION: usize = 6;
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
/// Read timeout of a caller; longer than the deadline of its requests.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Methods and targets, requested in rotation.
const TARGETS: [(&str, &str); 5] = [
    ("GET", "/read/x"),
    ("POST", "/write/x"),
    ("POST", "/flow/x"),
    ("POST", "/model/x"),
    ("POST", "/write/y"),
];

/// The result of a request as its caller sees it.
#[derive(Clone, Debug)]
pub enum CallResult {
    Response(Response),
    NoResponse,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub target: &'static str,
    pub result: CallResult,
}

/// Callers that send requests until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(vms: Vec<SocketAddr>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let records = Arc::new(Mutex::new(Vec::new()));
        let mut threads = Vec::new();
        for address in vms {
            for number in 0..CALLERS_PER_VM {
                let (stop, records) = (Arc::clone(&stop), Arc::clone(&records));
                threads.push(thread::spawn(move || {
                    run_caller(address, number, &stop, &records);
                }));
            }
        }
        Self {
            stop,
            records,
            threads,
        }
    }

    pub fn finish(self) -> Vec<Record> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
        let records = self.records.lock().unwrap();
        records.clone()
    }
}

fn run_caller(
    address: SocketAddr,
    first: usize,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    let mut request_number = first;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            thread::sleep(REQUEST_INTERVAL);
            continue;
        };
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        for _ in 0..MAX_REQUESTS_PER_CONNECTION {
            let (method, target) = TARGETS[request_number % TARGETS.len()];
            request_number += 1;
            let req = request(method, target, request_number);
            let result = call(&mut stream, &req);
            let can_reuse =
                matches!(&result, CallResult::Response(response) if is_reusable(response));
            let id = req.id().to_owned();
            let record = Record { id, target, result };
            records.lock().unwrap().push(record);
            // Without a pause, immediate refusals would dominate the records.
            thread::sleep(REQUEST_INTERVAL);
            if !can_reuse || stop.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

fn request(
    method: &'static str,
    target: &str,
    request_number: usize,
) -> Request {
    let req = Request::new(method, target);
    match target {
        "/model/x" => req
            .with("X-Model", &format!("base/a{}", request_number % 5 + 1))
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "a1:50,b2:50")
            .body(b"prompt"),
        _ if method == "POST" => req.body(b"something to do"),
        _ => req,
    }
}

fn call(
    stream: &mut TcpStream,
    req: &Request,
) -> CallResult {
    if stream.write_all(&req.bytes()).is_err() {
        return CallResult::NoResponse;
    }
    read_response(stream).map_or(CallResult::NoResponse, CallResult::Response)
}

fn is_reusable(response: &Response) -> bool {
    let closes = response
        .header("connection")
        .is_some_and(|value| value == "close");
    response.is_complete && !closes
}
