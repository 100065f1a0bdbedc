use {
    crate::deployment::{Answer, Request, read_answer},
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
const AT_EACH: usize = 4;
/// Most requests per connection.
const OVER_ONE: usize = 6;
const PAUSE: Duration = Duration::from_millis(15);
/// Read timeout of a caller; longer than the deadline of its requests.
const PATIENCE: Duration = Duration::from_secs(6);
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
pub enum Said {
    Answer(Answer),
    Nothing,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub struct Record {
    pub id: String,
    pub target: &'static str,
    pub said: Said,
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
            for number in 0..AT_EACH {
                let (stop, records) = (Arc::clone(&stop), Arc::clone(&records));
                threads.push(thread::spawn(move || {
                    call_on(address, number, &stop, &records);
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

fn call_on(
    address: SocketAddr,
    first: usize,
    stop: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    let mut turn = first;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            thread::sleep(PAUSE);
            continue;
        };
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        for _ in 0..OVER_ONE {
            let (method, target) = TARGETS[turn % TARGETS.len()];
            turn += 1;
            let req = request(method, target, turn);
            let said = ask(&mut stream, &req);
            let goes_on = matches!(&said, Said::Answer(answer) if keeps(answer));
            let id = req.id().to_owned();
            let record = Record { id, target, said };
            records.lock().unwrap().push(record);
            // Without a pause, immediate refusals would dominate the records.
            thread::sleep(PAUSE);
            if !goes_on || stop.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

fn request(
    method: &'static str,
    target: &str,
    turn: usize,
) -> Request {
    let req = Request::new(method, target);
    match target {
        "/model/x" => req
            .with("X-Model", &format!("base/a{}", turn % 5 + 1))
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "a1:50,b2:50")
            .body(b"prompt"),
        _ if method == "POST" => req.body(b"something to do"),
        _ => req,
    }
}

fn ask(
    stream: &mut TcpStream,
    req: &Request,
) -> Said {
    if stream.write_all(&req.bytes()).is_err() {
        return Said::Nothing;
    }
    read_answer(stream).map_or(Said::Nothing, Said::Answer)
}

fn keeps(answer: &Answer) -> bool {
    let closes = answer
        .header("connection")
        .is_some_and(|said| said == "close");
    answer.is_whole && !closes
}
