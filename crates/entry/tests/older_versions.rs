//! Older versions of an adapter: answers of real daemons that begin on them after a newer one was announced.

mod deployment;

use {
    deployment::{Request, Response, Vm, config, exchange, start_platform, wait_until},
    jasmine_platform_stand_in::{EngineStandIn, KvStandIn},
    serde_json::{Value, json},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time from the ack of a version to the last first token by an older one.
const BOUND: Duration = Duration::from_secs(5);
const ADAPTER: &str = "a1";

/// A configuration whose route `model` allows 15 s, and several attempts if it is `resumable`.
fn patient_config(resumable: bool) -> Value {
    let mut next = config(2);
    let routes = next["routes"].as_array_mut().unwrap();
    for route in routes.iter_mut().filter(|route| route["name"] == "model") {
        route["resumable"] = json!(resumable);
        route["attempts"] = json!(3);
        route["timeout_ms"] = json!(15_000);
        route["slo_ms"] = json!(12_000);
    }
    next
}

fn start_store() -> KvStandIn {
    start_store_with(&patient_config(true))
}

fn start_store_with(config: &Value) -> KvStandIn {
    let (store, _) = start_platform(&[]);
    store.put("op/config", config);
    store
}

fn start_engine(
    store: &KvStandIn,
    id: &str,
) -> EngineStandIn {
    let engine = EngineStandIn::start(id).unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    engine
}

fn generation() -> Request {
    Request::new("POST", "/model/")
        .with("X-Model", &format!("base/{ADAPTER}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "c1:50,c2:50")
        .with("X-Deadline-Ms", "14000")
        .body(b"prompt")
}

/// Publishes and announces a version; returns the time of the ack.
fn announce(
    store: &KvStandIn,
    engines: &[&EngineStandIn],
    version: u32,
) -> Instant {
    for engine in engines {
        engine.publish(ADAPTER, version);
    }
    let value = json!({"model": "base", "adapter": ADAPTER, "version": version});
    store.put(&format!("op/version/base.{ADAPTER}"), &value);
    Instant::now()
}

fn assert_served(response: &Response) {
    assert_eq!(response.status, 200, "{response:?}");
    assert!(response.is_complete, "{response:?}");
}

/// No answer has begun on a version before `version` later than the bound after its ack.
fn assert_none_older(
    engine: &EngineStandIn,
    version: u32,
    acked: Instant,
) {
    let begins = engine.begins();
    let late: Vec<_> = begins
        .iter()
        .filter(|begin| begin.version < Some(version) && begin.at > acked + BOUND)
        .collect();
    assert!(late.is_empty(), "begun after the bound: {late:?}");
}

#[test]
fn a_request_in_an_engines_queue_begins_on_the_newer_version() {
    // Guards against a request that was sent before the announcement and begins long after it, at a slow engine.
    let store = start_store();
    let engine = start_engine(&store, "e-1");
    let vm = Vm::start(&store);
    assert_served(&vm.send_request(&generation()));
    engine.set_queue_time(Duration::from_secs(8));
    let acked = thread::scope(|scope| {
        let waiting = scope.spawn(|| vm.send_request(&generation()));
        wait_until("it has reached the engine", || engine.arrivals().len() == 2);
        engine.set_queue_time(Duration::ZERO);
        let acked = announce(&store, &[&engine], 2);
        assert_served(&waiting.join().unwrap());
        acked
    });
    assert_none_older(&engine, 2, acked);
    let last = engine.begins().pop().unwrap();
    assert_eq!(last.version, Some(2));
}

#[test]
fn a_request_that_cannot_be_repeated_is_withdrawn() {
    // Guards against a late begin where no second attempt is allowed: its caller is told instead that it has failed.
    let store = start_store_with(&patient_config(false));
    let engine = start_engine(&store, "e-1");
    let vm = Vm::start(&store);
    assert_served(&vm.send_request(&generation()));
    engine.set_queue_time(Duration::from_secs(8));
    let (acked, response) = thread::scope(|scope| {
        let waiting = scope.spawn(|| vm.send_request(&generation()));
        wait_until("it has reached the engine", || engine.arrivals().len() == 2);
        let acked = announce(&store, &[&engine], 2);
        (acked, waiting.join().unwrap())
    });
    assert_eq!(response.status, 502, "{response:?}");
    wait_until("the engine has dropped it", || engine.cancelled() == 1);
    assert_none_older(&engine, 2, acked);
}

#[test]
fn an_answer_that_has_begun_is_not_cut() {
    // Guards against cutting answers that began in time and last longer than the bound.
    let store = start_store_with(&patient_config(false));
    let engine = start_engine(&store, "e-1");
    let vm = Vm::start(&store);
    assert_served(&vm.send_request(&generation()));
    engine.set_event_gap(Duration::from_millis(5_500));
    let response = thread::scope(|scope| {
        let running = scope.spawn(|| vm.send_request(&generation()));
        wait_until("it has begun", || engine.begins().len() == 2);
        announce(&store, &[&engine], 2);
        running.join().unwrap()
    });
    assert_served(&response);
    assert_eq!(engine.begins().len(), 2, "in one run");
}

/// The lease of the records of a leader that are copied to another store; outlasts the test.
const LEASE_TIME: Duration = Duration::from_secs(90);

#[test]
fn a_leader_that_lags_starts_nothing_on_an_older_version() {
    // Guards against VMs that know a newer version and obey a leader that doesn't.
    let store = start_store();
    let engine = start_engine(&store, "e-1");
    let lagging = start_store();
    lagging.put(&engine.key(), &engine.entry("llm", "one"));
    // VMs of one data centre read changes from each other.
    let name = format!("lagging-{}", std::process::id());
    let leader = Vm::start_with_settings(lagging.address(), &name, |settings| {
        settings["data_centre"] = json!("two");
    });
    wait_until("it leads", || !leader.log_lines("lead_taken").is_empty());
    assert_served(&leader.send_request(&generation()));
    for key in lagging.keys() {
        if key.starts_with("jasmine/") {
            store.put_leased(&key, &lagging.value(&key).unwrap(), LEASE_TIME);
        }
    }
    let follower = Vm::start(&store);
    wait_until("it follows", || {
        !follower.log_lines("leader_followed").is_empty()
    });
    assert_served(&follower.send_request(&generation()));
    let acked = announce(&store, &[&engine], 2);
    thread::sleep(BOUND + Duration::from_millis(200));
    assert!(leader.log_lines("version_announced").is_empty());
    assert_served(&follower.send_request(&generation()));
    assert_none_older(&engine, 2, acked);
}

/// Sends a request as another VM does that has lost its links, for an engine and a version that it requires.
fn relay(
    vm: &Vm,
    engine: &str,
    version: u32,
) -> Option<Response> {
    let started = vm.log_lines("started").remove(0);
    let (_, address) = started.split_once(" relay=").unwrap();
    let address = address.split(' ').next().unwrap().parse().unwrap();
    let mut request = generation().with("X-Expect-Version", &version.to_string());
    let target = ("Jasmine-Upstream".to_owned(), format!("{engine} v1"));
    request.headers.insert(0, target);
    exchange(address, &request.bytes())
}

#[test]
fn a_relay_starts_nothing_on_an_older_version() {
    // Guards against VMs that know a newer version and send another VM's request on with an older one.
    let store = start_store();
    let engine = start_engine(&store, "e-1");
    let vm = Vm::start(&store);
    assert_served(&vm.send_request(&generation()));
    let response = relay(&vm, "e-1", 1).unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    let acked = announce(&store, &[&engine], 2);
    thread::sleep(BOUND + Duration::from_millis(200));
    let response = relay(&vm, "e-1", 1).unwrap();
    assert_eq!(response.status, 503, "{response:?}");
    assert_none_older(&engine, 2, acked);
}

#[test]
fn a_relay_withdraws_requests_from_an_engines_queue() {
    // Guards against a relayed request that waits at a slow engine, while the VM that it is for knows of no newer version.
    let store = start_store();
    let engine = start_engine(&store, "e-1");
    let vm = Vm::start(&store);
    assert_served(&vm.send_request(&generation()));
    engine.set_queue_time(Duration::from_secs(8));
    let acked = thread::scope(|scope| {
        scope.spawn(|| assert_eq!(relay(&vm, "e-1", 1), None));
        wait_until("it has reached the engine", || engine.arrivals().len() == 2);
        announce(&store, &[&engine], 2)
    });
    wait_until("the engine has dropped it", || engine.cancelled() == 1);
    assert_none_older(&engine, 2, acked);
}
