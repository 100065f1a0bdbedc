//! Upstreams that fall silent for a while and go on.

mod deployment;

use {
    deployment::{
        Request, Response, Vm, config, count_runs, start_platform, start_vms, wait_until,
    },
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Proxy},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than any time after which another upstream is sought, well within the deadline of the requests.
const SILENCE: Duration = Duration::from_secs(2);
const EVENTS: u64 = 8;

fn stream() -> Request {
    Request::new("POST", "/stream/").body(b"prompt")
}

fn assert_whole_stream(response: &Response) {
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    assert_eq!(
        (response.status, response.is_complete),
        (200, true),
        "{ids:?}"
    );
    assert!(ids.into_iter().eq(1..=EVENTS));
}

/// Starts a VM whose service has no retry budget.
fn start_without_retries(store: &KvStandIn) -> Vm {
    let name = format!(
        "no-retries-{}-{:?}",
        std::process::id(),
        thread::current().id()
    );
    let name = name.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
    let vm = Vm::start_with_settings(store.address(), &name, |settings| {
        settings["repeats"] = json!({"ratio": 0.0, "slack": 0.0, "window_s": 10.0});
    });
    wait_until("the daemon is ready", || vm.is_ready());
    vm
}

#[test]
fn a_silent_stream_goes_on() {
    // Guards against cutting an answer whose only upstream falls silent and goes on.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].set_default(Behaviour::Pauses(EVENTS, SILENCE));
    let req = stream();
    assert_whole_stream(&vm.send_request(&req));
    assert_eq!(count_runs(&upstreams, req.id()), 1);
}

#[test]
fn a_silent_last_attempt_goes_on() {
    // Guards against cutting an answer on its last attempt because the upstream falls silent.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::CutAfter(2));
    upstreams[0].set_default(Behaviour::Pauses(EVENTS, SILENCE));
    let req = stream();
    assert_whole_stream(&vm.send_request(&req));
    assert_eq!(count_runs(&upstreams, req.id()), 2);
}

#[test]
fn a_silent_stream_goes_on_without_retries() {
    // Guards against cutting an answer because no retry budget is left when its upstream falls silent.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = start_without_retries(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Pauses(EVENTS, SILENCE));
    }
    let req = stream();
    assert_whole_stream(&vm.send_request(&req));
    assert_eq!(count_runs(&upstreams, req.id()), 1);
}

#[test]
fn a_hung_stream_moves_on() {
    // Guards against waiting for a hung upstream while another one could take its stream over.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    upstreams[0].set_default(Behaviour::SilentAfter(3));
    upstreams[1].set_default(Behaviour::Events(EVENTS));
    for _ in 0..4 {
        assert_whole_stream(&vm.send_request(&stream()));
    }
}

#[test]
fn a_silent_call_is_answered() {
    // Guards against failing a call on its last attempt because all upstreams are silent before their answers.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Slow(SILENCE));
    }
    let response = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!((response.status, response.text()), (200, "slow".to_owned()));
}

#[test]
fn a_silent_call_is_answered_without_retries() {
    // Guards against failing a call because no retry budget is left when its upstream is silent.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = start_without_retries(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Slow(SILENCE));
    }
    let response = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!((response.status, response.text()), (200, "slow".to_owned()));
}

#[test]
fn a_refusal_with_a_silent_body_moves_on() {
    // Guards against holding a request that has not run for the rest of the response that says so.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for upstream in &upstreams {
        upstream.next(Behaviour::SilentShed(SILENCE));
    }
    let began = Instant::now();
    let response = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!(response.status, 200);
    assert!(began.elapsed() < SILENCE, "after {:?}", began.elapsed());
}

/// Upstreams behind proxies, of routes whose streams may pause for long.
struct Site {
    store: KvStandIn,
    upstreams: Vec<UpstreamStandIn>,
    links: Vec<Proxy>,
}

fn start_site() -> Site {
    let store = KvStandIn::start().unwrap();
    let mut long_gaps = config(1);
    for route in long_gaps["routes"].as_array_mut().unwrap() {
        route["gap_aim_ms"] = json!(1_000);
    }
    store.put("op/config", &long_gaps);
    let mut site = Site {
        store,
        upstreams: Vec::new(),
        links: Vec::new(),
    };
    for id in ["s-1", "s-2"] {
        let upstream = UpstreamStandIn::start(id).unwrap();
        let mut entry = upstream.entry("app", "one", "ready");
        let target = entry["address"].as_str().unwrap().parse().unwrap();
        let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
        entry["address"] = json!(link.address().to_string());
        site.store.put(&upstream.key(), &entry);
        site.links.push(link);
        site.upstreams.push(upstream);
    }
    site
}

/// Cuts all links to the upstreams in the middle of streams through each VM until it counts its links as lost, and a
/// while longer; all streams have to go on then.
fn assert_streams_survive(
    site: &Site,
    vms: &[Vm],
) {
    for upstream in &site.upstreams {
        upstream.set_default(Behaviour::Pauses(EVENTS, Duration::from_millis(600)));
    }
    let calls: Vec<_> = vms
        .iter()
        .flat_map(|vm| [vm.callers; 4])
        .map(|callers| {
            let req = stream();
            let bytes = req.bytes();
            let call = thread::spawn(move || deployment::exchange(callers, &bytes));
            (req, call)
        })
        .collect();
    wait_until("all run", || {
        let runs = site
            .upstreams
            .iter()
            .map(|upstream| upstream.executed().len());
        runs.sum::<usize>() >= calls.len()
    });
    thread::sleep(Duration::from_millis(100));
    for link in &site.links {
        link.set_mode(Fault::Cut);
    }
    wait_until("the links count as lost", || {
        vms.iter().all(|vm| !vm.log_lines("links_lost").is_empty())
    });
    thread::sleep(SILENCE);
    for link in &site.links {
        link.set_mode(Fault::Pass);
    }
    for (req, call) in calls {
        assert_whole_stream(&call.join().unwrap().expect("a response"));
        assert_eq!(count_runs(&site.upstreams, req.id()), 1);
    }
}

#[test]
fn requests_survive_the_silence_of_all_upstreams() {
    // Guards against ending requests when all upstreams are silent at once, which looks like lost links.
    let site = start_site();
    let vm = Vm::start(&site.store);
    assert_streams_survive(&site, &[vm]);
}

#[test]
fn requests_survive_while_idle_vms_reach_nothing_either() {
    // Guards against giving silent upstreams up for other VMs before these have said that they reach upstreams.
    let site = start_site();
    let vms = start_vms(&site.store, "idle-silence");
    assert_streams_survive(&site, &vms[..1]);
}

#[test]
fn requests_of_all_vms_survive_the_silence_of_all_upstreams() {
    // Guards against giving silent upstreams up for other VMs that don't reach them either.
    let site = start_site();
    let vms = start_vms(&site.store, "silence");
    assert_streams_survive(&site, &vms);
}

#[test]
fn a_broken_stream_waits_for_lost_links() {
    // Guards against cutting an answer between two attempts because no upstream can be reached for a while.
    let site = start_site();
    let vm = Vm::start(&site.store);
    for upstream in &site.upstreams {
        upstream.set_default(Behaviour::Pauses(EVENTS, Duration::from_millis(600)));
    }
    let (callers, bytes) = (vm.callers, stream().bytes());
    let call = thread::spawn(move || deployment::exchange(callers, &bytes));
    wait_until("it runs", || {
        site.upstreams
            .iter()
            .any(|upstream| !upstream.executed().is_empty())
    });
    thread::sleep(Duration::from_millis(100));
    for link in &site.links {
        link.set_mode(Fault::Reset);
    }
    wait_until("the links count as lost", || {
        !vm.log_lines("links_lost").is_empty()
    });
    thread::sleep(Duration::from_secs(1));
    for link in &site.links {
        link.set_mode(Fault::Pass);
    }
    assert_whole_stream(&call.join().unwrap().expect("a response"));
}

#[test]
fn a_deadline_waits_for_no_test_of_the_links() {
    // Guards against an answer later than the deadline because the links of the VM are still being tested.
    let site = start_site();
    let vm = Vm::start(&site.store);
    for link in &site.links {
        link.set_mode(Fault::Cut);
    }
    let began = Instant::now();
    let req = Request::new("POST", "/write/").with("X-Deadline-Ms", "500");
    assert_eq!(vm.send_request(&req.body(b"enrol")).status, 504);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(750), "after {took:?}");
}
