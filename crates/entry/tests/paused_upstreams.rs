//! Upstreams whose processes are suspended while the configuration changes, and go on with what they have received.

mod deployment;

use {
    deployment::{
        Request, Response, Vm, config, read_response, upstream_process::UpstreamProcess, wait_until,
    },
    jasmine_platform_stand_in::KvStandIn,
    serde_json::{Value, json},
    std::{
        collections::{HashMap, HashSet},
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const VMS: usize = 7;
const STREAMERS: usize = 9;
const CALLED: usize = 3;
const ENGINES: usize = 3;
const SLOTS: usize = 64;
/// Events of a stream, 5 ms each.
const EVENTS: u64 = 150;
const LONG_STREAM: u64 = 800;
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
/// When upstreams are suspended, which part of them and for how long.
type Suspensions = &'static [(Duration, f64, Duration)];
const SUSPENSIONS: Suspensions = &[
    (Duration::from_secs(2), 1.0, Duration::from_millis(1_200)),
    (Duration::from_secs(6), 0.6, Duration::from_millis(1_100)),
    (Duration::from_secs(10), 1.0, Duration::from_millis(1_300)),
];
/// Nearly a window apart, and long enough that streams are repeated elsewhere.
const APART: Suspensions = &[
    (Duration::from_secs(4), 0.8, Duration::from_millis(1_800)),
    (
        Duration::from_millis(13_800),
        0.8,
        Duration::from_millis(1_800),
    ),
];
const SETTLING_TIME: Duration = Duration::from_secs(3);

struct Record {
    id: String,
    target: &'static str,
    response: Option<Response>,
}

struct Site {
    store: KvStandIn,
    upstreams: Vec<(&'static str, UpstreamProcess)>,
    vms: Vec<Vm>,
}

/// The configuration: streams of plain upstreams, calls of others and generations.
fn site_config(version: u64) -> Value {
    let mut site = config(version);
    for route in site["routes"].as_array_mut().unwrap() {
        let name = route["name"].as_str().unwrap().to_owned();
        route["slo_ms"] = json!(1_000);
        route["timeout_ms"] = json!(15_000);
        route["gap_aim_ms"] = json!(250);
        if ["read", "write"].contains(&name.as_str()) {
            route["service"] = json!("calls");
            route["slo_ms"] = json!(150);
            route["timeout_ms"] = json!(800);
        }
    }
    // Each version changes a limit and a time-out.
    site["limits"]["idle_timeout_ms"] = json!(5_000 + 1_000 * version);
    for route in site["routes"].as_array_mut().unwrap() {
        if version.is_multiple_of(2) {
            let timeout_ms = route["timeout_ms"].as_u64().unwrap();
            route["timeout_ms"] = json!(timeout_ms * 3 / 4);
        }
    }
    let mut calls = site["services"][0].clone();
    calls["name"] = json!("calls");
    site["services"].as_array_mut().unwrap().push(calls);
    site
}

impl Site {
    fn start(
        name: &str,
        events: u64,
    ) -> Self {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", &site_config(1));
        let services = [
            ("plain", "app", STREAMERS),
            ("plain", "calls", CALLED),
            ("engine", "llm", ENGINES),
        ];
        let mut upstreams = Vec::new();
        for (kind, service, count) in services {
            for number in 0..count {
                let data_centre = DATA_CENTRES[number % DATA_CENTRES.len()];
                let id = format!("{service}-{number}");
                let mut upstream = UpstreamProcess::start(kind, &id, service, data_centre, "v1");
                match service {
                    "app" => upstream.command(&format!("stream {events}")),
                    "calls" => upstream.command("answer 30"),
                    _ => upstream.command("generate 300"),
                }
                upstream.entry["slots"] = json!(SLOTS);
                store.put(&upstream.key, &upstream.entry);
                upstreams.push((service, upstream));
            }
        }
        let start_vm = |number: usize| {
            let name = format!("{name}-{number}-{}", std::process::id());
            Vm::start_with_settings(store.address(), &name, |settings| {
                settings["data_centre"] = json!(DATA_CENTRES[number % DATA_CENTRES.len()]);
                settings["repeats"] = json!({"ratio": RATIO, "slack": SLACK, "window_s": 10.0});
            })
        };
        let vms: Vec<Vm> = (0..VMS).map(start_vm).collect();
        wait_until("all are ready", || vms.iter().all(Vm::is_ready));
        Self {
            store,
            upstreams,
            vms,
        }
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

fn request(target: &'static str) -> Request {
    let req = match target {
        "/read/x" => Request::new("GET", target).with("X-Deadline-Ms", "1500"),
        "/write/x" => Request::new("POST", target)
            .with("X-Deadline-Ms", "1500")
            .body(b"enrol"),
        "/model/x" => Request::new("POST", target)
            .with("X-Model", "base")
            .with("X-Token-Counts", "150,10")
            .body(b"prompt"),
        _ => Request::new("POST", target)
            .with("X-Deadline-Ms", "15000")
            .body(b"prompt"),
    };
    let id = format!("{}-{}", std::process::id(), req.id());
    req.with("X-Request-Id", &id)
}

/// Calls a route until told to stop; repeats a request once as its answer allows.
fn run_caller(
    address: SocketAddr,
    target: &'static str,
    is_stopped: &AtomicBool,
) -> Vec<Record> {
    let mut records = Vec::new();
    while !is_stopped.load(Ordering::Relaxed) {
        for _attempt in 0..2 {
            let req = request(target);
            let response = call(address, &req);
            let status = response.as_ref().map(|it| it.status);
            let pause = response.as_ref().and_then(|it| it.header("retry-after"));
            records.push(Record {
                id: req.id().to_owned(),
                target,
                response,
            });
            match status {
                Some(status) if NOT_RUN_STATUSES.contains(&status) => {
                    let pause: f64 = pause.and_then(|it| it.parse().ok()).unwrap_or(0.0);
                    thread::sleep(Duration::from_secs_f64(pause.min(1.0)));
                }
                Some(200) => break,
                _ if target == "/read/x" || target == "/stream/x" => {}
                _ => break,
            }
        }
        thread::sleep(CALL_INTERVAL);
    }
    records
}

const TARGETS: [(&str, usize); 5] = [
    ("/stream/x", 4),
    ("/once/x", 2),
    ("/read/x", 1),
    ("/write/x", 1),
    ("/model/x", 2),
];

/// How far the repeats at a service exceed what is allowed, and how many they are, in the worst windows of its arrivals.
fn worst_windows(mut arrivals: Vec<(u64, String)>) -> (f64, f64) {
    arrivals.sort();
    let mut seen = HashSet::new();
    let arrivals: Vec<(u64, bool)> = arrivals
        .into_iter()
        .map(|(at, id)| (at, seen.insert(id)))
        .collect();
    let excess_until = |&(end, _): &(u64, bool)| {
        let window = arrivals
            .iter()
            .filter(|(at, _)| *at <= end && *at + WINDOW_MS > end);
        let (mut requests, mut repeats) = (0.0, 0.0);
        for (_, is_first) in window {
            *if *is_first {
                &mut requests
            } else {
                &mut repeats
            } += 1.0;
        }
        (repeats - RATIO * requests - SLACK, repeats)
    };
    let windows = arrivals.iter().map(excess_until);
    windows.fold((f64::NEG_INFINITY, 0.0), |worst, (excess, repeats)| {
        (worst.0.max(excess), worst.1.max(repeats))
    })
}

/// Whether a request was answered as not run although it ran, or ran twice although it may run once only.
fn check_runs(
    record: &Record,
    runs: usize,
) -> Option<String> {
    let status = record
        .response
        .as_ref()
        .map_or(0, |response| response.status);
    let may_repeat = ["/read/x", "/stream/x"].contains(&record.target);
    let broken = match runs {
        _ if may_repeat => None,
        0 => None,
        _ if NOT_RUN_STATUSES.contains(&status) => Some("ran, and was answered"),
        1 => None,
        _ => Some("ran more than once, answered"),
    };
    broken.map(|broken| format!("{} {} {broken} {status}", record.target, record.id))
}

/// Calls all routes through all VMs while upstreams of these services are suspended; returns what was broken.
fn suspend_under_load(
    mut site: Site,
    services: &[&'static str],
    suspensions: Suspensions,
    callers: &[(&'static str, usize)],
) -> Vec<String> {
    let is_stopped = AtomicBool::new(false);
    let began = Instant::now();
    let records: Vec<Record> = thread::scope(|scope| {
        let is_stopped = &is_stopped;
        let callers_of_vm = callers;
        let mut callers = Vec::new();
        for vm in &site.vms {
            for &(target, count) in callers_of_vm {
                for _ in 0..count {
                    let address = vm.callers;
                    callers.push(scope.spawn(move || run_caller(address, target, is_stopped)));
                }
            }
        }
        for (version, &(at, share, time)) in (2..).zip(suspensions) {
            thread::sleep(at.saturating_sub(began.elapsed()));
            site.store.put("op/config", &site_config(version));
            let count = |service| (site.of(service).count() as f64 * share).round() as usize;
            let suspended: Vec<&UpstreamProcess> = services
                .iter()
                .flat_map(|&service| site.of(service).take(count(service)))
                .collect();
            for upstream in &suspended {
                upstream.suspend();
            }
            thread::sleep(time);
            for upstream in &suspended {
                upstream.resume();
            }
        }
        thread::sleep(SETTLING_TIME);
        is_stopped.store(true, Ordering::Relaxed);
        let callers = callers.into_iter();
        callers.flat_map(|it| it.join().unwrap()).collect()
    });
    let mut violations = Vec::new();
    let mut runs: HashMap<String, usize> = HashMap::new();
    let mut arrivals: HashMap<&str, Vec<(u64, String)>> = HashMap::new();
    for (service, upstream) in &mut site.upstreams {
        let report = upstream.report();
        arrivals.entry(service).or_default().extend(report.arrivals);
        for id in report.executed {
            *runs.entry(id).or_default() += 1;
        }
    }
    for (service, arrivals) in arrivals {
        let (excess, repeats) = worst_windows(arrivals);
        println!("{service}: {repeats} repeats in a window, {excess} beyond what is allowed");
        if excess > 0.0 {
            violations.push(format!("{excess} repeats too many at {service}"));
        }
    }
    let runs_of = |record: &Record| runs.get(&record.id).copied().unwrap_or_default();
    violations.extend(records.iter().filter_map(|it| check_runs(it, runs_of(it))));
    let served = records.iter().filter(|record| {
        let response = record.response.as_ref();
        response.is_some_and(|it| it.status == 200 && it.is_complete)
    });
    println!("{} of {} requests served", served.count(), records.len());
    violations
}

#[test]
fn suspended_generators() {
    // Guards against repeats beyond the budget, second runs and false refusals while upstreams of streams are silent.
    let violations = suspend_under_load(
        Site::start("generators", EVENTS),
        &["app", "llm"],
        SUSPENSIONS,
        &TARGETS,
    );
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn suspended_services() {
    // The same while nothing answers, so that VMs take their links for lost.
    let violations = suspend_under_load(
        Site::start("services", EVENTS),
        &["app", "llm", "calls"],
        SUSPENSIONS,
        &TARGETS,
    );
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn suspensions_apart() {
    // Guards against two bursts of repeats in one window of the retry budget.
    let violations = suspend_under_load(
        Site::start("apart", LONG_STREAM),
        &["app"],
        APART,
        &[("/stream/x", 14), ("/read/x", 1)],
    );
    assert!(violations.is_empty(), "{violations:#?}");
}
