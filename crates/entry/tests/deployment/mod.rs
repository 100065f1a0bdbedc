//! Starts entry daemons as processes with fake platform services, and sends raw HTTP requests to them.

#![allow(dead_code, reason = "no test file uses all of it")]

pub mod crashing_site;
pub mod ending_site;
pub mod part_arrivals;
pub mod paused_site;
pub mod registrar;
pub mod streams;
pub mod upstream_process;

use {
    jasmine_platform_stand_in::{KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::Proxy,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    serde_json::{Value, json},
    std::{
        fs,
        io::{BufRead, BufReader, Read, Write},
        net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// Timeout of every wait and read.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// API key of the account `one`.
pub const API_KEY: &str = "key-of-one";

static NEXT_ID: AtomicU32 = AtomicU32::new(0);

/// The daemon under test: that of this tree, unless `JASMINE_ENTRY` names one of another version.
fn daemon_path() -> PathBuf {
    let other = std::env::var_os("JASMINE_ENTRY");
    other.map_or_else(|| env!("CARGO_BIN_EXE_jasmine-entry").into(), PathBuf::from)
}

/// A running entry daemon.
pub struct Vm {
    pub name: String,
    child: Child,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    /// Reads the log until the process has closed it.
    log_reader: Option<JoinHandle<()>>,
    settings: PathBuf,
}

impl Vm {
    /// Starts a daemon and waits until it is ready.
    pub fn start(store: &KvStandIn) -> Self {
        let vm = Self::start_unready(store);
        wait_until("the daemon is ready", || vm.is_ready());
        vm
    }

    /// Starts a daemon and waits until it listens.
    pub fn start_unready(store: &KvStandIn) -> Self {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        Self::start_as(store, &format!("vm-{}-{number}", std::process::id()))
    }

    /// Starts a daemon with this VM name.
    pub fn start_as(
        store: &KvStandIn,
        name: &str,
    ) -> Self {
        Self::start_with_store(store.address(), name)
    }

    /// Starts a daemon with this VM name and this address of the store.
    pub fn start_with_store(
        store: SocketAddr,
        name: &str,
    ) -> Self {
        Self::start_with_settings(store, name, |_| {})
    }

    /// Starts a daemon with settings modified by `change`.
    pub fn start_with_settings<F>(
        store: SocketAddr,
        name: &str,
        change: F,
    ) -> Self
    where
        F: Fn(&mut Value),
    {
        // Several deployments of a process may give their VMs the same names.
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let settings = std::env::temp_dir().join(format!("jasmine-entry-{name}-{number}.json"));
        let any_address = "127.0.0.1:0";
        let mut text = json!({
            "vm": name,
            "data_centre": "one",
            "listen": {"callers": any_address, "readiness": any_address, "peers": any_address, "metrics": any_address},
            "store": store.to_string(),
            "first_start": true,
            "engines_check_fences": true,
            "repeats": {"ratio": 0.2, "slack": 50.0, "window_s": 10.0},
            "stop_s": 8,
        });
        change(&mut text);
        fs::write(&settings, text.to_string()).unwrap();
        let mut child = Command::new(daemon_path())
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().unwrap());
        let collected = Arc::clone(&lines);
        let log_reader = thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                collected.lock().unwrap().push(line);
            }
        });
        let started = || {
            let lines = lines.lock().unwrap();
            lines
                .iter()
                .find(|line| line.contains("event=started"))
                .cloned()
        };
        wait_until("the daemon has started", || started().is_some());
        let line = started().unwrap();
        let address = |name: &str| -> SocketAddr {
            let (_, rest) = line.split_once(&format!(" {name}=")).unwrap();
            rest.split(' ').next().unwrap().parse().unwrap()
        };
        Self {
            name: name.to_owned(),
            callers: address("callers"),
            readiness: address("readiness"),
            child,
            lines,
            log_reader: Some(log_reader),
            settings,
        }
    }

    /// Whether the readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        let response = exchange(self.readiness, b"GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n");
        response.is_some_and(|response| response.status == 200)
    }

    /// Returns the log lines of one event.
    pub fn log_lines(
        &self,
        event: &str,
    ) -> Vec<String> {
        let lines = self.lines.lock().unwrap();
        let wanted = format!("event={event} ");
        let is_one = |line: &&String| line.contains(&wanted);
        lines.iter().filter(is_one).cloned().collect()
    }

    /// Returns the whole log.
    pub fn log(&self) -> String {
        let lines = self.lines.lock().unwrap();
        lines.join("\n") + "\n"
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(
        &self,
        signal: Signal,
    ) {
        kill(Pid::from_raw(self.child.id() as i32), signal).unwrap();
    }

    /// Whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Waits until the process exits and its log is read.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                if let Some(log_reader) = self.log_reader.take() {
                    log_reader.join().unwrap();
                }
                return status;
            }
            assert!(
                began.elapsed() < TIMEOUT,
                "the process did not exit in time"
            );
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Sends a request over a new connection.
    pub fn send_request(
        &self,
        request: &Request,
    ) -> Response {
        exchange(self.callers, &request.bytes()).expect("a response")
    }

    /// Sends raw bytes; returns none if the connection closes without a response.
    pub fn send_raw(
        &self,
        bytes: &[u8],
    ) -> Option<Response> {
        exchange(self.callers, bytes)
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        // Both fail only if the process has already exited.
        drop(self.child.kill());
        drop(self.child.wait());
        drop(fs::remove_file(&self.settings));
    }
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn new(
        method: &'static str,
        target: &str,
    ) -> Self {
        let id = format!("id-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        Self {
            method,
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
        .with("Host", "app.example")
        .with("X-Request-Id", &id)
        .with("X-Deadline-Ms", "5000")
        .with("X-Api-Key", API_KEY)
    }

    /// Sends it to another path.
    pub fn to(
        mut self,
        target: &str,
    ) -> Self {
        target.clone_into(&mut self.target);
        self
    }

    /// Sets a header, replacing earlier values.
    pub fn with(
        mut self,
        name: &str,
        value: &str,
    ) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn without(
        mut self,
        name: &str,
    ) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    pub fn body(
        mut self,
        body: &[u8],
    ) -> Self {
        self.body = body.to_vec();
        let length = self.body.len().to_string();
        self.with("Content-Length", &length)
    }

    pub fn id(&self) -> &str {
        let is_id = |(name, _): &&(String, String)| name == "X-Request-Id";
        &self.headers.iter().find(is_id).unwrap().1
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            head.extend([name, ": ", value, "\r\n"]);
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A response as received by a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub head: String,
    /// The decoded body.
    pub body: Vec<u8>,
    /// Whether the body was complete according to its framing.
    pub is_complete: bool,
}

impl Response {
    pub fn header(
        &self,
        name: &str,
    ) -> Option<String> {
        self.head
            .lines()
            .filter_map(|line| line.split_once(": "))
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.trim().to_owned())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The complete events of a stream.
    pub fn events(&self) -> Vec<Event> {
        parse_events(&self.text())
    }
}

/// An event of a stream, with the software version that it names; empty if it names none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub id: u64,
    pub build: String,
}

/// Parses the complete events of a stream that stand-ins have sent.
pub fn parse_events(text: &str) -> Vec<Event> {
    let field = |event: &str, name: &str| {
        let value = event.lines().find_map(|line| line.strip_prefix(name));
        value.unwrap_or_default().to_owned()
    };
    let complete = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n") && event.contains("data: piece-"));
    complete
        .filter_map(|event| {
            Some(Event {
                id: field(event, "id: ").parse().ok()?,
                build: field(event, "event: "),
            })
        })
        .collect()
}

/// Sends bytes over a new connection and reads one response.
pub fn exchange(
    address: SocketAddr,
    bytes: &[u8],
) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    stream.write_all(bytes).ok()?;
    read_response(&mut stream)
}

/// Reads one response; none if the connection closes before its head is complete. Bytes after it belong to its body.
pub fn read_response(stream: &mut TcpStream) -> Option<Response> {
    let mut rest = Vec::new();
    let mut response = read_next_response(stream, &mut rest)?;
    response.is_complete &= rest.is_empty();
    response.body.append(&mut rest);
    Some(response)
}

/// Reads one of several responses. `rest` has what was received beyond the one before.
pub fn read_next_response<R>(
    stream: &mut R,
    rest: &mut Vec<u8>,
) -> Option<Response>
where
    R: Read,
{
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if !more(stream, rest) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end);
    let mut response = Response {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: Vec::new(),
        is_complete: false,
        head,
    };
    if let Some(length) = response.header("content-length") {
        let length: usize = length.parse().ok()?;
        while rest.len() < length && more(stream, rest) {}
        response.is_complete = rest.len() >= length;
        response.body = rest.drain(..length.min(rest.len())).collect();
    } else if response.header("transfer-encoding").is_some() {
        (response.body, response.is_complete) = read_chunks(stream, rest);
    } else {
        while more(stream, rest) {}
        response.body = std::mem::take(rest);
    }
    Some(response)
}

fn read_chunks<R>(
    stream: &mut R,
    rest: &mut Vec<u8>,
) -> (Vec<u8>, bool)
where
    R: Read,
{
    let mut body = Vec::new();
    loop {
        let Some(line_end) = rest.windows(2).position(|two| two == b"\r\n") else {
            if more(stream, rest) {
                continue;
            }
            return (body, false);
        };
        let size = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let size = usize::from_str_radix(&size, 16).unwrap();
        let end = line_end + 2 + size + 2;
        while rest.len() < end {
            if !more(stream, rest) {
                return (body, false);
            }
        }
        body.extend_from_slice(&rest[line_end + 2..end - 2]);
        rest.drain(..end);
        if size == 0 {
            return (body, true);
        }
    }
}

fn more<R>(
    stream: &mut R,
    buf: &mut Vec<u8>,
) -> bool
where
    R: Read,
{
    let mut part = [0_u8; 4096];
    match stream.read(&mut part) {
        Ok(n) if n > 0 => {
            buf.extend_from_slice(&part[..n]);
            true
        }
        _ => false,
    }
}

/// Waits until a condition holds, and panics after [`TIMEOUT`].
pub fn wait_until<F>(
    what: &str,
    mut is_met: F,
) where
    F: FnMut() -> bool,
{
    let began = Instant::now();
    while !is_met() {
        assert!(began.elapsed() < TIMEOUT, "not in time: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

fn route(
    name: &str,
    kind: &str,
    attempts: u32,
    resumable: bool,
) -> Value {
    json!({
        "name": name, "hostname": "app.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 5_000, "slo_ms": 400, "priority": 1, "service": "app", "attempts": attempts,
        "public": false, "sticky": false, "resumable": resumable, "gap_aim_ms": 100,
    })
}

/// A configuration with a route of each kind.
pub fn config(version: u64) -> Value {
    let mut public = route("open", "idempotent", 1, false);
    public["public"] = json!(true);
    let mut model = route("model", "streaming", 1, false);
    model["service"] = json!("llm");
    json!({
        "version": version,
        "routes": [
            route("read", "idempotent", 2, false),
            route("write", "non_idempotent", 1, false),
            route("stream", "streaming", 2, true),
            route("once", "streaming", 1, false),
            public,
            model,
        ],
        "services": [
            {"name": "app", "health_path": "/healthz", "max_conns": 100},
            {"name": "llm", "health_path": "/healthz", "max_conns": 100, "engine": {
                "slots": 64, "kv_capacity": 100_000, "weights_mb": 1_100.0, "adapter_slots": 2,
                "loads_per_s": 2.0,
                "models": [{"name": "base", "weights_mb": 1_000.0, "load_s": 0.7, "adapters": 9,
                    "adapter_mb": 12.0}],
            }},
        ],
        "limits": {"max_header_bytes": 4_096, "max_body_bytes": 65_536, "header_timeout_ms": 600,
            "idle_timeout_ms": 5_000},
        "tenants": [
            {"name": "one", "api_keys": [API_KEY], "priority": 1, "unit": "token_metered",
                "plain_tokens": 10, "rate_per_s": 1_000_000, "burst": 1_000_000},
            {"name": "small", "api_keys": ["key-of-small"], "unit": "token_metered",
                "plain_tokens": 10, "rate_per_s": 100, "burst": 100},
        ],
    })
}

/// A configuration in which the route `read` has this path.
pub fn moved_config(
    version: u64,
    path: &str,
) -> Value {
    let mut next = config(version);
    next["routes"][0]["path_prefix"] = json!(path);
    next
}

/// Whether a VM serves a request to this path.
pub fn serves_path(
    vm: &Vm,
    path: &str,
) -> bool {
    vm.send_request(&Request::new("GET", path)).status == 200
}

/// Starts a store with a configuration, and upstreams of the service `app`.
pub fn start_platform(upstreams: &[&str]) -> (KvStandIn, Vec<UpstreamStandIn>) {
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config(1));
    let upstreams: Vec<_> = upstreams
        .iter()
        .map(|id| UpstreamStandIn::start(id).unwrap())
        .collect();
    for upstream in &upstreams {
        store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
    }
    (store, upstreams)
}

/// The address from which a VM connects to upstreams, so that its links can be told apart.
pub fn source_address(vm: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + vm as u8))
}

/// Starts VMs that reach the store through a proxy each.
pub fn start_linked_vms(
    store: &KvStandIn,
    name: &str,
    count: usize,
) -> (Vec<Proxy>, Vec<Vm>) {
    let start = |number: usize| {
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let link = Proxy::start(any_address, store.address()).unwrap();
        let name = format!("{name}-{}-{number}", std::process::id());
        let vm = Vm::start_with_store(link.address(), &name);
        (link, vm)
    };
    (0..count).map(start).unzip()
}

/// Starts three VMs of which the first leads and the others follow.
pub fn start_vms(
    store: &KvStandIn,
    name: &str,
) -> Vec<Vm> {
    let start = |number: u32| {
        let vm = Vm::start_as(store, &format!("{name}-{number}-{}", std::process::id()));
        wait_until("the daemon is ready", || vm.is_ready());
        vm
    };
    let leader = start(1);
    wait_until("it leads", || !leader.log_lines("lead_taken").is_empty());
    let followers = [start(2), start(3)];
    for vm in &followers {
        wait_until("it follows", || !vm.log_lines("leader_followed").is_empty());
    }
    [leader].into_iter().chain(followers).collect()
}

/// Pause of a caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// A call whose id begins with the name of the VM that forwards it, and a dot.
pub fn call_through(vm: &Vm) -> Request {
    let request = Request::new("GET", "/read/");
    let id = format!("{}.{}", vm.name, request.id());
    request.with("X-Request-Id", &id)
}

/// Sends calls through all VMs for a while, by several callers each; returns how many were served.
pub fn call_all(
    vms: &[Vm],
    callers_per_vm: usize,
    time: Duration,
) -> usize {
    let until = Instant::now() + time;
    let call = |vm: &Vm| {
        let mut served = 0;
        while Instant::now() < until {
            served += usize::from(vm.send_request(&call_through(vm)).status == 200);
            thread::sleep(CALL_INTERVAL);
        }
        served
    };
    thread::scope(|scope| {
        let callers = vms.iter().flat_map(|vm| vec![vm; callers_per_vm]);
        let callers: Vec<_> = callers.map(|vm| scope.spawn(move || call(vm))).collect();
        let served = callers.into_iter().map(|caller| caller.join().unwrap());
        served.sum()
    })
}

/// Counts the runs of a request at all upstreams.
pub fn count_runs(
    upstreams: &[UpstreamStandIn],
    id: &str,
) -> usize {
    let ran = upstreams.iter().flat_map(UpstreamStandIn::executed);
    ran.filter(|seen| seen.headers.get("x-request-id").is_some_and(|of| of == id))
        .count()
}
