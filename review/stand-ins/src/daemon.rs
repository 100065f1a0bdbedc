//! The daemons under test, each a process that the deploy file's command starts.

use {
    jasmine_platform_stand_in::KvStandIn,
    serde_json::{Value, json},
    std::{
        fs,
        io::{BufRead, BufReader, Write},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
    },
};

/// The API key of the tenant `one`.
pub const API_KEY: &str = "key-of-one";

/// A running daemon.
pub struct Daemon {
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
    /// Where it takes requests of clients.
    pub callers: SocketAddr,
    /// Where it tells whether it is ready.
    pub readiness: SocketAddr,
}

/// The settings that the platform makes of `deploy/entry.json`, with the figures of a small site.
fn settings(
    name: &str,
    store: SocketAddr,
) -> Value {
    let any = "127.0.0.1:0";
    json!({
        "vm": name,
        "data_centre": "one",
        "listen": {"callers": any, "readiness": any, "peers": any, "relay": any, "metrics": any},
        "store": store.to_string(),
        "least_lease_ms": 1_000,
        "first_start": true,
        "engines_check_fences": true,
        "order_gap_ms": 3_000,
        "change_ms": 2_000,
        "version_ms": 5_000,
        "regions": {"one": "here"},
        "cold_upstreams": {"slack": 0},
        "size": {"processor": 0.25, "network_mbps": 1000.0, "memory_mb": 260, "files": 4_100},
        "repeats": {"ratio": 0.2, "slack": 54, "window_s": 10},
        "hard_load": {"shedding": "off", "return_times": "off"},
        "terms": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
            "tenants", "quota", "platform"],
        "stop_s": 8,
    })
}

/// Adds a process to the list of those that the script ends if this program can't.
pub fn note_child(pid: u32) {
    let Some(path) = std::env::var_os("CHILDREN") else {
        return;
    };
    let file = fs::OpenOptions::new().append(true).create(true).open(path);
    let written = file.and_then(|mut file| writeln!(file, "{pid}"));
    if let Err(e) = written {
        eprintln!("child not noted: {e}");
    }
}

impl Daemon {
    /// Starts a daemon and waits until it listens.
    pub fn start(
        name: &str,
        store: SocketAddr,
        change: impl Fn(&mut Value),
    ) -> Self {
        let file = format!("review-{}-{name}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        let mut text = settings(name, store);
        change(&mut text);
        fs::write(&path, text.to_string()).expect("the temporary folder can be written");
        let program =
            std::env::var("ENTRY").unwrap_or_else(|_| "target/release/jasmine-entry".into());
        let child = Command::new(program)
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn();
        let Ok(mut child) = child else {
            eprintln!("the daemon can't be started");
            std::process::exit(2);
        };
        note_child(child.id());
        let lines = Arc::new(Mutex::new(Vec::<String>::new()));
        let output = BufReader::new(child.stdout.take().expect("it is piped"));
        let collected = Arc::clone(&lines);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                collected.lock().unwrap().push(line);
            }
        });
        let find = || {
            let lines = lines.lock().unwrap();
            lines
                .iter()
                .find(|line| line.contains("event=started"))
                .cloned()
        };
        crate::wait_for("a daemon has started", || find().is_some());
        let line = find().expect("it was just found");
        let address = |name: &str| {
            let (_, rest) = line.split_once(&format!(" {name}=")).expect("it is logged");
            let word = rest.split(' ').next().unwrap_or_default();
            word.parse().expect("an address")
        };
        Self {
            callers: address("callers"),
            readiness: address("readiness"),
            child,
            lines,
            settings: path,
        }
    }

    /// Starts a daemon and waits until it is ready.
    pub fn start_ready(
        name: &str,
        store: &KvStandIn,
    ) -> Self {
        let daemon = Self::start(name, store.address(), |_| {});
        crate::wait_for("a daemon is ready", || daemon.is_ready());
        daemon
    }

    /// Whether its readiness probe succeeds.
    pub fn is_ready(&self) -> bool {
        let probe = b"GET /-/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
        let answer = crate::client::Client::new(self.readiness).send(probe);
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Its log lines of one event.
    pub fn log(
        &self,
        event: &str,
    ) -> Vec<String> {
        let wanted = format!("event={event} ");
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .filter(|line| line.contains(&wanted))
            .cloned()
            .collect()
    }

    /// Its whole log.
    pub fn all_lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// The number of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _has_ended = self.child.kill();
        let _status = self.child.wait();
    }

    /// Whether it has ended by itself, and how.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        let _gone = fs::remove_file(&self.settings);
    }
}

/// Starts daemons of which the first one leads.
pub fn start_all(
    store: &KvStandIn,
    count: usize,
) -> Vec<Daemon> {
    let first = Daemon::start_ready("vm-1", store);
    crate::wait_for("the first daemon leads", || {
        !first.log("lead_taken").is_empty()
    });
    let mut all = vec![first];
    for number in 2..=count {
        let daemon = Daemon::start_ready(&format!("vm-{number}"), store);
        crate::wait_for("a daemon follows", || {
            !daemon.log("leader_followed").is_empty()
        });
        all.push(daemon);
    }
    all
}

fn route(
    name: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    resumable: bool,
) -> Value {
    json!({
        "name": name, "hostname": "app.example", "path_prefix": format!("/{name}/"), "kind": kind,
        "timeout_ms": 5_000, "slo_ms": 1_000, "priority": 1, "service": service,
        "attempts": attempts, "public": false, "sticky": service == "llm", "resumable": resumable,
        "gap_aim_ms": 250,
    })
}

/// A configuration with the routes of a small site: drafts that may be resumed, summaries that may not, writes and
/// reads.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("draft", "streaming", "llm", 2, true),
            route("summary", "streaming", "llm", 1, false),
            route("enrol", "non_idempotent", "app", 2, false),
            route("status", "idempotent", "app", 2, false),
        ],
        "services": [
            {"name": "app", "health_path": "/healthz", "max_conns": 100},
            {"name": "llm", "health_path": "/healthz", "max_conns": 360, "engine": {
                "slots": 64, "kv_capacity": 123_223, "weights_mb": 66_500.0, "adapter_slots": 5,
                "loads_per_s": 2.1,
                "models": [{"name": "base", "weights_mb": 65_100.0, "load_s": 0.72,
                    "adapters": 3_000, "adapter_mb": 12.0}],
            }},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "one", "api_keys": [API_KEY], "priority": 1, "unit": "token_metered",
            "plain_tokens": 200, "rate_per_s": 10_000_000, "burst": 10_000_000}],
    })
}

/// Encodes a client's request.
pub fn request(
    method: &str,
    target: &str,
    id: &str,
    headers: &str,
    body: &str,
) -> Vec<u8> {
    let length = body.len();
    format!(
        "{method} {target} HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 5000\r\n\
         X-Api-Key: {API_KEY}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
