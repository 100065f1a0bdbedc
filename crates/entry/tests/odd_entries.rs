//! Entries of the store, and reports of engines, that other writers left or that hold absurd values.

mod deployment;

use {
    deployment::{
        Request, Vm, config, start_platform, start_vms,
        streams::{BROKEN_AFTER, EVENTS, new_stream, open_stream, resume, set_all, start_builds},
        wait_until,
    },
    jasmine_platform_stand_in::{Behaviour, EngineStandIn, KvStandIn},
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// How long after its removal an upstream may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The lease of a record that looks like a VM's; outlasts the test.
const LEASE_TIME: Duration = Duration::from_secs(90);
/// Time in which a leader would have acted on a record.
const WATCH_TIME: Duration = Duration::from_secs(8);

fn leads(vm: &Vm) -> bool {
    !vm.log_lines("lead_taken").is_empty()
}

fn read() -> Request {
    Request::new("GET", "/read/")
}

#[test]
fn an_entry_of_the_future_hides_no_later_one() {
    // Guards against an entry with an absurd start time, beside which all that its upstream writes looks old.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    let mut odd = upstreams[0].entry("app", "one", "ready");
    odd["born"] = json!(u64::MAX);
    store.put(&upstreams[0].key(), &odd);
    store.put_bytes("servers/marker", b"null");
    wait_until("it was read", || vm.log().contains("servers/marker"));
    store.put(
        &upstreams[0].key(),
        &upstreams[0].entry("app", "one", "draining"),
    );
    let left_at = Instant::now();
    while left_at.elapsed() < DRAIN_TIME + Duration::from_secs(1) {
        assert_eq!(vm.send_request(&read()).status, 200);
        thread::sleep(Duration::from_millis(10));
    }
    let arrivals = upstreams[0].arrivals();
    let late = arrivals.iter().filter(|arrival| {
        let after = arrival.at.saturating_duration_since(left_at);
        after > DRAIN_TIME
    });
    assert_eq!(late.count(), 0, "requests after {DRAIN_TIME:?}");
}

#[test]
fn a_record_of_no_vm_takes_no_lead() {
    // Guards against a leader that hands over to a record that no VM keeps, again and again.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    wait_until("it leads", || leads(&vm));
    let record = json!({
        "vm": "odd", "peers": "127.0.0.1:9", "incarnation": 1, "data_centre": "one", "processor_percent": u32::MAX,
    });
    store.put("jasmine/vm/odd", &record);
    thread::sleep(WATCH_TIME);
    let handed_over = vm.log_lines("lead_handed_over");
    assert!(handed_over.is_empty(), "{handed_over:?}");
}

#[test]
fn a_record_under_another_key_replaces_no_vm() {
    // Guards against an entry that names a VM and sends the others to another address.
    let (store, upstreams) = start_platform(&["s-1"]);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let vms = start_vms(&store, "renamed");
    let asks_all = || {
        let req = resume(&new_stream(), BROKEN_AFTER);
        vms[0].send_request(&req);
        let own = || {
            let asked = vms[0].log_lines("resumption_requested");
            let is_own = |line: &String| line.contains(&format!(" id={} ", req.id()));
            asked.into_iter().find(is_own)
        };
        wait_until("it is logged", || own().is_some());
        own().is_some_and(|line| line.contains(" asked=2 answered=2 "))
    };
    wait_until("it knows the others", asks_all);
    let record = json!({
        "vm": vms[1].name, "peers": "127.0.0.1:9", "incarnation": 1, "data_centre": "one",
    });
    store.put_leased("jasmine/vm/odd", record.to_string().as_bytes(), LEASE_TIME);
    store.put_bytes("servers/marker", b"null");
    let has_read = |vm: &Vm| vm.log().contains("servers/marker");
    wait_until("it was read", || vms.iter().all(has_read));
    assert!(asks_all(), "another VM is sought elsewhere");
}

#[test]
fn an_odd_leader_key_prevents_no_election() {
    // Guards against a deployment in which all VMs decide alone, as a key that no VM keeps looks like a leader.
    for odd in [
        b"[[[[".to_vec(),
        json!({"vm": "odd", "peers": "127.0.0.1:9", "incarnation": 1})
            .to_string()
            .into_bytes(),
    ] {
        let (store, _upstreams) = start_platform(&["s-1"]);
        store.put_bytes("jasmine/scheduler", &odd);
        let vm = Vm::start(&store);
        wait_until("it leads", || leads(&vm));
        store.put_bytes("jasmine/scheduler", &odd);
        assert_eq!(vm.send_request(&read()).status, 200);
    }
}

#[test]
fn an_odd_page_of_streams_hides_no_other() {
    // Guards against refusing all streams after a kill of all VMs, as one page of stored origins can't be read.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vms = start_vms(&store, "odd-page");
    set_all(&upstreams, &Behaviour::SilentAfter(BROKEN_AFTER));
    let requests: Vec<Request> = (0..6).map(|_| new_stream()).collect();
    let streams: Vec<_> = requests
        .iter()
        .map(|req| open_stream(&vms[1], req))
        .collect();
    thread::sleep(Duration::from_secs(1));
    store.put_bytes("stream-builds/0", b"[[[[");
    store.put_bytes("stream-builds/zzz", b"{\"service\":\"app\"}");
    for vm in &vms {
        vm.signal(Signal::SIGKILL);
    }
    drop(vms);
    drop(streams);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let vms = start_vms(&store, "odd-again");
    for req in &requests {
        let rest = vms[1].send_request(&resume(req, BROKEN_AFTER));
        assert_eq!(rest.status, 200, "{rest:?}");
    }
}

/// Values for the fields of an engine's report, at and beyond the bounds of their types.
fn odd_reports() -> Vec<Vec<(&'static str, Value)>> {
    let nested = (0..200).fold(json!(1), |inner, _| json!([inner]));
    vec![
        vec![("queued", json!(u32::MAX)), ("running", json!(u32::MAX))],
        vec![("kv_used", json!(u64::MAX)), ("kv_total", json!(u64::MAX))],
        vec![("seq", json!(u64::MAX))],
        vec![("born", json!(u64::MAX))],
        vec![("seq", json!(1e300))],
        vec![("queued", json!(-1))],
        vec![("models", nested.clone())],
        vec![("unknown", nested)],
        vec![(
            "models",
            json!([{"name": "base", "adapters": ["a1@4294967295", "a2@0", "@1", ""]}]),
        )],
        vec![("coming", json!(["base/a1@4294967296"]))],
        vec![("coming", json!(["a1"]))],
    ]
}

#[test]
fn odd_reports_end_no_vm() {
    // Guards against an engine whose reports end the VM that reads them, or that is not used again after them.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config(1));
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let mut vm = Vm::start(&store);
    wait_until("it leads", || leads(&vm));
    let generate = |vm: &Vm, number: usize| {
        let model = format!("base/a{}", number % 4);
        let req = Request::new("POST", "/model/")
            .with("X-Model", &model)
            .with("X-Token-Counts", "150,10")
            .body(b"prompt");
        vm.send_request(&req).status
    };
    for fields in odd_reports() {
        engine.set_odd_report(&fields);
        for number in 0..8 {
            generate(&vm, number);
            thread::sleep(Duration::from_millis(60));
        }
        assert!(!vm.has_exited(), "ended after {fields:?}");
        engine.set_odd_report(&[]);
        wait_until(&format!("it serves after {fields:?}"), || {
            generate(&vm, 1) == 200
        });
    }
}
