//! A site whose upstreams are processes that are suspended under load, and checks of what reached them.

use {
    super::{
        API_KEY, Request, Response, Vm, config, read_response,
        upstream_process::{Arrival, UpstreamProcess},
        wait_until,
    },
    jasmine_platform_stand_in::KvStandIn,
    jasmine_testkit::proxy::Proxy,
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const VMS: usize = 7;
const STREAMERS: usize = 9;
const CALLED: usize = 3;
const SLOTS: usize = 64;
const DATA_CENTRES: [&str; 3] = ["one", "two", "three"];
/// Window of the retry budget.
const WINDOW_MS: u64 = 10_000;
/// Retries allowed in it, as a part of the requests and beyond.
const RATIO: f64 = 0.2;
const SLACK: f64 = 54.0;
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Silence after which a caller gives up a stream.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);
const CALL_INTERVAL: Duration = Duration::from_millis(60);
/// Time that callers of calls and of streams wait.
const CALL_DEADLINE_MS: u64 = 1_500;
const STREAM_DEADLINE_MS: u64 = 15_000;
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How much later than its caller gives up, or than the first attempt does, an attempt may end.
const DEADLINE_TOLERANCE_MS: u64 = 500;
/// Attempts that may be handed too much time; of those in question also a fifth.
const MAX_LATE_DEADLINES: usize = 20;
/// How long a request may take from its caller to the count of the VM that decides.
const COUNT_DELAY_MS: u64 = 500;
const DAY_MS: u64 = 86_400_000;
/// Most of the same violations that are shown.
const MAX_SHOWN: usize = 5;

/// When upstreams are suspended, which part of them and for how long.
pub type Suspensions = &'static [(Duration, f64, Duration)];

/// A route, its kind and its service.
struct Target {
    path: &'static str,
    service: &'static str,
    /// Upstreams that may run a request.
    attempts: usize,
    /// Whether it may run more than once.
    may_repeat: bool,
    is_call: bool,
}

const TARGETS: [Target; 6] = [
    target("/stream/x", "app", 2, true, false),
    target("/once/x", "app", 1, false, false),
    target("/read/x", "calls", 2, true, true),
    target("/write/x", "calls", 1, false, true),
    target("/model/x", "llm", 1, false, false),
    target("/talk/x", "llm", 2, true, false),
];

const fn target(
    path: &'static str,
    service: &'static str,
    attempts: usize,
    may_repeat: bool,
    is_call: bool,
) -> Target {
    Target {
        path,
        service,
        attempts,
        may_repeat,
        is_call,
    }
}

fn target_of(path: &str) -> &'static Target {
    let found = TARGETS.iter().find(|target| target.path == path);
    found.unwrap_or_else(|| panic!("no target {path}"))
}

/// The upstreams and answers of a site.
pub struct SiteSpec {
    pub name: &'static str,
    /// Events of a plain stream, 5 ms each.
    pub stream_events: u64,
    pub engines: usize,
    /// Time between two events of a generation, and how many follow the first two.
    pub generation_gap_ms: u64,
    pub further_events: u64,
}

/// What is suspended, and what happens beside it.
pub struct Plan<'a> {
    pub services: &'a [&'static str],
    pub suspensions: Suspensions,
    /// Callers of each VM, by path.
    pub callers: &'a [(&'static str, usize)],
    /// Runs as the suspension of this number begins, from 0.
    pub disturb: &'a dyn Fn(&mut PausedSite, usize),
}

/// A caller's request.
struct Record {
    id: String,
    path: &'static str,
    /// The Unix time in milliseconds.
    sent_at: u64,
    response: Option<Response>,
}

/// What upstreams saw of a load.
pub struct Findings {
    /// By service, how far the repeats in the worst window exceed what is allowed for the requests that callers sent.
    pub excess: BTreeMap<&'static str, f64>,
    /// The same for the requests that arrived in that window.
    pub excess_of_arrived: BTreeMap<&'static str, f64>,
    /// Requests that ran on more upstreams than their route allows, twice without need, or although they were refused.
    pub broken_runs: Vec<String>,
    /// Decisions about retries that counted more requests than callers had sent in the window.
    pub overcounts: Vec<String>,
    /// Calls that reached upstreams more than once.
    pub repeated_calls: usize,
    /// Calls that were handed more time than was left, and how many were handed on or sent once more.
    pub late_deadlines: usize,
    pub counted_deadlines: usize,
}

impl Findings {
    /// What no load may show, in words.
    pub fn violations(&self) -> Vec<String> {
        let exceeded = self.excess.iter().filter(|(_, excess)| **excess > 0.0);
        let mut violations: Vec<String> = exceeded
            .map(|(service, excess)| format!("{excess:.1} repeats too many at {service}"))
            .collect();
        violations.extend(self.broken_runs.iter().cloned());
        violations.extend(self.overcounts.iter().take(MAX_SHOWN).cloned());
        if self.late_deadlines > MAX_LATE_DEADLINES
            && self.late_deadlines * 5 > self.counted_deadlines
        {
            violations.push(format!(
                "{} of {} calls were handed too much time",
                self.late_deadlines, self.counted_deadlines
            ));
        }
        violations
    }
}

/// The configuration: streams of plain upstreams, calls of others and generations.
fn site_config(version: u64) -> Value {
    let mut site = config(version);
    let routes = site["routes"].as_array_mut().unwrap();
    let mut talk = routes
        .iter()
        .find(|route| route["name"] == "stream")
        .unwrap()
        .clone();
    let prefix = talk["path_prefix"]
        .as_str()
        .unwrap()
        .replace("stream", "talk");
    talk["name"] = json!("talk");
    talk["path_prefix"] = json!(prefix);
    talk["service"] = json!("llm");
    routes.push(talk);
    for route in routes {
        let name = route["name"].as_str().unwrap().to_owned();
        route["slo_ms"] = json!(1_000);
        route["timeout_ms"] = json!(15_000);
        route["gap_aim_ms"] = json!(250);
        if ["read", "write"].contains(&name.as_str()) {
            route["service"] = json!("calls");
            route["slo_ms"] = json!(150);
            route["timeout_ms"] = json!(800);
        }
        // Each version changes a limit and a time-out.
        if version.is_multiple_of(2) {
            let timeout_ms = route["timeout_ms"].as_u64().unwrap();
            route["timeout_ms"] = json!(timeout_ms * 3 / 4);
        }
    }
    site["limits"]["idle_timeout_ms"] = json!(5_000 + 1_000 * version);
    let mut calls = site["services"][0].clone();
    calls["name"] = json!("calls");
    site["services"].as_array_mut().unwrap().push(calls);
    site
}

/// VMs, a store and upstreams, the latter as processes of their own.
pub struct PausedSite {
    pub store: KvStandIn,
    /// Each VM's link to the store.
    pub store_links: Vec<Proxy>,
    pub vms: Vec<Option<Vm>>,
    upstreams: Vec<(&'static str, UpstreamProcess)>,
    name: &'static str,
}

impl PausedSite {
    pub fn start(spec: &SiteSpec) -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &site_config(1));
        let services = [
            ("plain", "app", STREAMERS),
            ("plain", "calls", CALLED),
            ("engine", "llm", spec.engines),
        ];
        let mut upstreams = Vec::new();
        for (kind, service, count) in services {
            for number in 0..count {
                let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
                let id = format!("{service}-{number}");
                let mut upstream = UpstreamProcess::start(kind, &id, service, data_centre, "v1");
                match service {
                    "app" => upstream.command(&format!("stream {}", spec.stream_events)),
                    "calls" => upstream.command("answer 30"),
                    _ => {
                        upstream.command(&format!("generate {}", spec.generation_gap_ms));
                        upstream.command(&format!("further {}", spec.further_events));
                    }
                }
                upstream.entry["slots"] = json!(SLOTS);
                store.put(&upstream.key, &upstream.entry);
                upstreams.push((service, upstream));
            }
        }
        let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let links = (0..VMS).map(|_| Proxy::start(any_address, store.address()).unwrap());
        let mut site = Self {
            store_links: links.collect(),
            store,
            vms: (0..VMS).map(|_| None).collect(),
            upstreams,
            name: spec.name,
        };
        for number in 0..VMS {
            site.start_vm(number, true);
        }
        wait_until("all are ready", || site.vms().all(Vm::is_ready));
        site
    }

    /// The VMs that run.
    pub fn vms(&self) -> impl Iterator<Item = &Vm> {
        self.vms.iter().flatten()
    }

    /// The VM that leads.
    pub fn leader(&self) -> usize {
        let since = |vm: &Vm| vm.log_lines("lead_taken").last().cloned();
        let leading = self.vms.iter().enumerate().filter_map(|(number, vm)| {
            let line = since(vm.as_ref()?)?;
            let (_, fence) = line.split_once("fence=")?;
            Some((fence.split(' ').next()?.parse::<u64>().ok()?, number))
        });
        leading.max().unwrap().1
    }

    /// Starts a VM, in place of one that runs.
    pub fn start_vm(
        &mut self,
        number: usize,
        is_first: bool,
    ) {
        let name = format!("{}-{number}-{}", self.name, std::process::id());
        self.vms[number] = None;
        let store = self.store_links[number].address();
        let vm = Vm::start_with_settings(store, &name, |settings| {
            settings["data_centre"] = json!(DATA_CENTRES[number % DATA_CENTRES.len()]);
            settings["repeats"] = json!({"ratio": RATIO, "slack": SLACK, "window_s": 10.0});
            settings["first_start"] = json!(is_first);
        });
        self.vms[number] = Some(vm);
    }

    /// Stops a VM as planned, and waits for its end.
    pub fn stop_vm(
        &mut self,
        number: usize,
    ) {
        let vm = self.vms[number].as_mut().unwrap();
        vm.signal(Signal::SIGTERM);
        vm.wait_for_exit();
        self.vms[number] = None;
    }

    fn of<'a>(
        &'a self,
        service: &'static str,
    ) -> impl Iterator<Item = &'a UpstreamProcess> {
        let upstreams = self.upstreams.iter();
        upstreams
            .filter(move |(of, _)| *of == service)
            .map(|(_, upstream)| upstream)
    }

    /// The addresses at which callers reach the VMs that run.
    fn addresses(&self) -> Vec<SocketAddr> {
        self.vms().map(|vm| vm.callers).collect()
    }

    /// Calls the routes through all VMs while upstreams are suspended; returns what reached upstreams.
    pub fn play(
        mut self,
        plan: &Plan<'_>,
    ) -> Findings {
        let is_stopped = AtomicBool::new(false);
        let addresses = Mutex::new(self.addresses());
        let began = Instant::now();
        let records: Vec<Record> = thread::scope(|scope| {
            let (is_stopped, addresses) = (&is_stopped, &addresses);
            let mut callers = Vec::new();
            for vm in 0..VMS {
                for &(path, count) in plan.callers {
                    for _ in 0..count {
                        callers
                            .push(scope.spawn(move || run_caller(addresses, vm, path, is_stopped)));
                    }
                }
            }
            for (number, &(at, share, time)) in plan.suspensions.iter().enumerate() {
                thread::sleep(at.saturating_sub(began.elapsed()));
                self.store.put("op/config", &site_config(2 + number as u64));
                let count = |service| (self.of(service).count() as f64 * share).round() as usize;
                let suspended: Vec<&UpstreamProcess> = plan
                    .services
                    .iter()
                    .flat_map(|&service| self.of(service).take(count(service)))
                    .collect();
                for upstream in &suspended {
                    upstream.suspend();
                }
                let until = Instant::now() + time;
                (plan.disturb)(&mut self, number);
                *addresses.lock().unwrap() = self.addresses();
                thread::sleep(until.saturating_duration_since(Instant::now()));
                for (_, upstream) in &self.upstreams {
                    upstream.resume();
                }
            }
            thread::sleep(SETTLING_TIME);
            is_stopped.store(true, Ordering::Relaxed);
            let callers = callers.into_iter();
            callers.flat_map(|it| it.join().unwrap()).collect()
        });
        self.findings(&records)
    }

    fn findings(
        &mut self,
        records: &[Record],
    ) -> Findings {
        let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
        let mut arrivals: HashMap<&'static str, Vec<Arrival>> = HashMap::new();
        for (number, (service, upstream)) in self.upstreams.iter_mut().enumerate() {
            let report = upstream.report();
            arrivals.entry(service).or_default().extend(report.arrivals);
            for id in report.executed {
                runs.entry(id).or_default().push(number);
            }
        }
        let mut findings = Findings {
            excess: BTreeMap::new(),
            excess_of_arrived: BTreeMap::new(),
            broken_runs: Vec::new(),
            overcounts: Vec::new(),
            repeated_calls: 0,
            late_deadlines: 0,
            counted_deadlines: 0,
        };
        for (&service, arrivals) in &mut arrivals {
            arrivals.sort_by_key(|arrival| arrival.at);
            let sent: Vec<u64> = records
                .iter()
                .filter(|record| target_of(record.path).service == service)
                .map(|record| record.sent_at)
                .collect();
            let times = ArrivalTimes::of(arrivals);
            let (excess, repeats) = times.worst_window(&sent, &[0, WINDOW_MS / 2, WINDOW_MS]);
            let (of_arrived, _) = times.worst_window(&times.first, &[0]);
            println!(
                "{service}: {repeats} repeats in a window, {excess:.1} beyond what is allowed, {of_arrived:.1} for what arrived in it; {} of {} requests repeated",
                times.repeats.len(),
                sent.len()
            );
            if service == "calls" {
                findings.repeated_calls = times.repeats.len();
            }
            findings.excess.insert(service, excess);
            findings.overcounts.extend(self.overcounts(service, &sent));
            findings.excess_of_arrived.insert(service, of_arrived);
        }
        let empty = Vec::new();
        let runs_of = |record: &Record| runs.get(&record.id).unwrap_or(&empty);
        let broken = records.iter().filter_map(|it| check_runs(it, runs_of(it)));
        findings.broken_runs.extend(broken);
        let calls = arrivals.get("calls").map_or(&[][..], Vec::as_slice);
        (findings.late_deadlines, findings.counted_deadlines) = check_deadlines(records, calls);
        println!(
            "{} of {} calls handed too much time",
            findings.late_deadlines, findings.counted_deadlines
        );
        let served = records.iter().filter(|record| {
            let response = record.response.as_ref();
            response.is_some_and(|it| it.status == 200 && it.is_complete)
        });
        println!("{} of {} requests served", served.count(), records.len());
        self.keep_logs();
        findings
    }

    /// The decisions of leaders about retries of a service that counted more requests than callers had sent.
    fn overcounts(
        &self,
        service: &str,
        sent: &[u64],
    ) -> Vec<String> {
        let lines = self.vms().flat_map(|vm| vm.log_lines("retry_decided"));
        let decided = lines
            .filter(|line| field(line, "service") == service && field(line, "share") != "alone");
        let describe = |line: String| {
            let at = time_of_day_ms(&field(&line, "time"));
            let counted: usize = field(&line, "requests").parse().unwrap();
            let is_in = |sent: &&u64| {
                let sent = **sent % DAY_MS;
                sent <= at && sent + WINDOW_MS + COUNT_DELAY_MS > at
            };
            let sent = sent.iter().filter(is_in).count();
            (counted > sent).then(|| format!("{sent} requests sent before {line}"))
        };
        decided.filter_map(describe).collect()
    }

    /// Writes the VMs' logs to the directory that `JASMINE_TEST_LOGS` names, if it does.
    fn keep_logs(&self) {
        let Some(dir) = std::env::var_os("JASMINE_TEST_LOGS") else {
            return;
        };
        for vm in self.vms() {
            let path = std::path::Path::new(&dir).join(format!("{}.log", vm.name));
            std::fs::write(path, vm.log()).unwrap();
        }
    }
}

/// When requests reached a service for the first time, and when once more.
struct ArrivalTimes {
    first: Vec<u64>,
    repeats: Vec<u64>,
}

impl ArrivalTimes {
    fn of(arrivals: &[Arrival]) -> Self {
        let mut seen = HashSet::new();
        let (first, repeats): (Vec<&Arrival>, Vec<&Arrival>) = arrivals
            .iter()
            .partition(|arrival| seen.insert(&arrival.id));
        let times = |arrivals: Vec<&Arrival>| arrivals.iter().map(|arrival| arrival.at).collect();
        Self {
            first: times(first),
            repeats: times(repeats),
        }
    }

    /// How far the repeats of the worst window exceed what is allowed, and the most in any window. The requests are those of
    /// the window or, if they are more, of one that ends this much earlier.
    fn worst_window(
        &self,
        requests: &[u64],
        earlier_ms: &[u64],
    ) -> (f64, usize) {
        let count = |times: &[u64], end: u64| {
            let is_in = |at: &&u64| **at <= end && **at + WINDOW_MS > end;
            times.iter().filter(is_in).count()
        };
        let windows = self.repeats.iter().map(|&end| {
            let repeats = count(&self.repeats, end);
            let ends = earlier_ms.iter().map(|earlier| end - earlier);
            let requests = ends.map(|end| count(requests, end)).max();
            let allowed = RATIO * requests.unwrap_or_default() as f64 + SLACK;
            (repeats as f64 - allowed, repeats)
        });
        let none = std::iter::once((-SLACK, 0)).filter(|_| self.repeats.is_empty());
        windows
            .chain(none)
            .fold((f64::NEG_INFINITY, 0), |worst, (excess, repeats)| {
                (worst.0.max(excess), worst.1.max(repeats))
            })
    }
}

/// A field of a log line.
fn field(
    line: &str,
    name: &str,
) -> String {
    let found = line
        .split(' ')
        .find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
    found
        .unwrap_or_else(|| panic!("no {name} in {line}"))
        .to_owned()
}

/// The time of day in a log line's time, in milliseconds.
fn time_of_day_ms(time: &str) -> u64 {
    let (_, time) = time.split_once('T').unwrap();
    let digits: Vec<u64> = time
        .trim_end_matches('Z')
        .split([':', '.'])
        .map(|part| part.parse().unwrap())
        .collect();
    ((digits[0] * 60 + digits[1]) * 60 + digits[2]) * 1_000 + digits[3]
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis() as u64
}

fn call(
    address: SocketAddr,
    req: &Request,
) -> Option<Response> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(CALLER_PATIENCE)).ok()?;
    stream.write_all(&req.bytes()).ok()?;
    read_response(&mut stream)
}

fn request(path: &'static str) -> Request {
    let target = target_of(path);
    let method = if path == "/read/x" { "GET" } else { "POST" };
    let deadline_ms = if target.is_call {
        CALL_DEADLINE_MS
    } else {
        STREAM_DEADLINE_MS
    };
    let req = Request::new(method, path)
        .with("X-Deadline-Ms", &deadline_ms.to_string())
        .with("X-Api-Key", API_KEY);
    let req = match target.service {
        "llm" => req
            .with("X-Model", "base")
            .with("X-Token-Counts", "150,10")
            .body(b"prompt"),
        _ if method == "POST" => req.body(b"prompt"),
        _ => req,
    };
    let id = format!("{}-{}", std::process::id(), req.id());
    req.with("X-Request-Id", &id)
}

/// Calls a route until told to stop; repeats a request once as its answer allows.
fn run_caller(
    addresses: &Mutex<Vec<SocketAddr>>,
    vm: usize,
    path: &'static str,
    is_stopped: &AtomicBool,
) -> Vec<Record> {
    let mut records = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        for attempt in 0..2 {
            let address = {
                let addresses = addresses.lock().unwrap();
                addresses[(vm + attempt) % addresses.len()]
            };
            let req = request(path);
            let sent_at = unix_ms();
            let response = call(address, &req);
            let status = response.as_ref().map(|it| it.status);
            let pause = response.as_ref().and_then(|it| it.header("retry-after"));
            records.push(Record {
                id: req.id().to_owned(),
                path,
                sent_at,
                response,
            });
            match status {
                Some(status) if NOT_RUN_STATUSES.contains(&status) => {
                    let pause: f64 = pause.and_then(|it| it.parse().ok()).unwrap_or(0.0);
                    thread::sleep(Duration::from_secs_f64(pause.min(1.0)));
                }
                Some(200) => break,
                _ if target_of(path).may_repeat => {}
                _ => break,
            }
        }
        thread::sleep(CALL_INTERVAL);
    }
    records
}

/// Whether a request ran on more upstreams than its route allows, twice although it may run once only, or although it was
/// answered as not run.
fn check_runs(
    record: &Record,
    runs: &[usize],
) -> Option<String> {
    let target = target_of(record.path);
    let status = record
        .response
        .as_ref()
        .map_or(0, |response| response.status);
    let upstreams: HashSet<&usize> = runs.iter().collect();
    let broken = match runs.len() {
        _ if upstreams.len() > target.attempts => "ran on more upstreams than allowed",
        0 => return None,
        _ if target.may_repeat => return None,
        _ if NOT_RUN_STATUSES.contains(&status) => "ran although it was refused",
        1 => return None,
        _ => "ran more than once",
    };
    Some(format!(
        "{} {} {broken}: {runs:?}, answered {status}",
        record.path, record.id
    ))
}

/// How many calls were handed more time than was left, of how many that were handed on or sent once more.
fn check_deadlines(
    records: &[Record],
    arrivals: &[Arrival],
) -> (usize, usize) {
    let sent: HashMap<&str, u64> = records
        .iter()
        .map(|record| (record.id.as_str(), record.sent_at))
        .collect();
    let mut first: HashMap<&str, &Arrival> = HashMap::new();
    let (mut late, mut counted) = (0, 0);
    for arrival in arrivals {
        let Some(deadline_ms) = arrival.deadline_ms else {
            late += 1;
            counted += 1;
            continue;
        };
        let end = arrival.at + deadline_ms;
        match first.get(arrival.id.as_str()) {
            None => {
                first.insert(&arrival.id, arrival);
                let is_late = deadline_ms > CALL_DEADLINE_MS + DEADLINE_TOLERANCE_MS;
                late += usize::from(is_late);
                counted += usize::from(is_late);
            }
            Some(first) if arrival.at > first.at + DEADLINE_TOLERANCE_MS => {
                let first_end = first.at + first.deadline_ms.unwrap_or_default();
                let own_end = sent
                    .get(arrival.id.as_str())
                    .map_or(0, |at| at + CALL_DEADLINE_MS);
                let is_late = end > first_end + DEADLINE_TOLERANCE_MS
                    && end > own_end + DEADLINE_TOLERANCE_MS;
                late += usize::from(is_late);
                counted += 1;
            }
            Some(_) => {}
        }
    }
    (late, counted)
}
