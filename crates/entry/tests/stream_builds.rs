//! Streams beside upstreams of several software versions: a stream goes on only at the version that began it.

mod deployment;

use {
    deployment::{
        Event, Request, Response, Vm, start_vms,
        streams::{
            BROKEN_AFTER, EVENTS, builds_of, ids_of, new_stream, open_stream, resume, set_all,
            start_builds,
        },
        wait_until,
    },
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Link, Proxy},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        net::{SocketAddr, TcpListener},
        thread,
        time::{Duration, Instant},
    },
};

/// A refusal that waits for nothing arrives within this time.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Waits until each VM asks all others for the origin of a stream.
fn wait_for_peers(vms: &[Vm]) {
    let others = format!(" asked={0} answered={0} ", vms.len() - 1);
    for vm in vms {
        let asks_all = || {
            vm.send_request(&resume(&new_stream(), BROKEN_AFTER));
            vm.log().contains(&others)
        };
        wait_until("all VMs are asked", asks_all);
    }
}

fn error_code(response: &Response) -> String {
    let body: serde_json::Value = serde_json::from_slice(&response.body).unwrap_or_default();
    body["error"].as_str().unwrap_or_default().to_owned()
}

fn executed_ids(upstreams: &[UpstreamStandIn]) -> Vec<String> {
    let seen = upstreams.iter().flat_map(UpstreamStandIn::executed);
    seen.filter_map(|req| req.headers.get("x-request-id").cloned())
        .collect()
}

#[test]
fn a_broken_stream_goes_on_at_its_build() {
    // Guards against one answer with events of two software versions.
    let (store, upstreams) = start_builds(&["v1", "v2", "v1", "v2"]);
    let vm = Vm::start(&store);
    let mut resumed = 0;
    for round in 0..12 {
        set_all(&upstreams, &Behaviour::Events(EVENTS));
        let broken = &upstreams[round % upstreams.len()];
        broken.set_default(Behaviour::CutAfter(BROKEN_AFTER));
        let req = new_stream();
        let response = vm.send_request(&req);
        let events = response.events();
        assert_eq!(builds_of(&events).len(), 1, "round {round}: {events:?}");
        assert!(response.is_complete, "round {round}: {response:?}");
        assert_eq!(ids_of(&events), (1..=EVENTS).collect::<Vec<_>>());
        resumed += usize::from(deployment::count_runs(&upstreams, req.id()) > 1);
    }
    assert!(resumed > 0, "no stream was resumed");
}

#[test]
fn a_caller_takes_a_stream_up_at_another_vm() {
    // Guards against a caller's next attempt that goes on at another software version, and against refusing it.
    let (store, upstreams) = start_builds(&["v1", "v1", "v2", "v2"]);
    let vms = start_vms(&store, "taken-up");
    wait_for_peers(&vms);
    for round in 0..12 {
        set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
        let req = new_stream();
        let first = vms[round % 3].send_request(&req);
        let events = first.events();
        assert!(!first.is_complete, "round {round}: {first:?}");
        assert_eq!(ids_of(&events).last(), Some(&BROKEN_AFTER), "round {round}");

        set_all(&upstreams, &Behaviour::Events(EVENTS));
        let next = resume(&req, BROKEN_AFTER);
        let rest = vms[(round + 1) % 3].send_request(&next);
        assert!(rest.is_complete, "round {round}: {rest:?}");
        let rest = rest.events();
        assert_eq!(
            ids_of(&rest),
            (BROKEN_AFTER + 1..=EVENTS).collect::<Vec<_>>()
        );
        let all = [events, rest].concat();
        assert_eq!(builds_of(&all).len(), 1, "round {round}: {all:?}");
    }
}

#[test]
fn a_stream_is_resumed_after_its_vm_was_killed() {
    // Guards against losing the origin of a stream with the VM that served or scheduled it.
    let (store, upstreams) = start_builds(&["v1", "v2", "v1", "v2"]);
    let mut vms = start_vms(&store, "killed");
    wait_for_peers(&vms);
    for _ in 0..2 {
        set_all(&upstreams, &Behaviour::SilentAfter(BROKEN_AFTER));
        let killed = vms.remove(0);
        let requests: Vec<Request> = (0..6).map(|_| new_stream()).collect();
        let streams: Vec<_> = requests
            .iter()
            .map(|req| open_stream(&killed, req))
            .collect();
        killed.signal(Signal::SIGKILL);
        set_all(&upstreams, &Behaviour::Events(EVENTS));
        for (req, (_connection, events)) in requests.iter().zip(streams) {
            let rest = vms[0].send_request(&resume(req, BROKEN_AFTER));
            assert_eq!(rest.status, 200, "{rest:?}");
            assert!(rest.is_complete, "{rest:?}");
            let all = [events, rest.events()].concat();
            assert_eq!(ids_of(&all), (1..=EVENTS).collect::<Vec<_>>());
            assert_eq!(builds_of(&all).len(), 1, "{all:?}");
        }
        let leads = |vm: &Vm| !vm.log_lines("lead_taken").is_empty();
        wait_until("another VM leads", || vms.iter().any(leads));
    }
}

#[test]
fn a_stream_of_unknown_origin_is_refused_beside_several_builds() {
    // Guards against going on at any software version where the one that began the stream isn't known.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let vm = Vm::start(&store);
    let unknown = resume(&new_stream(), BROKEN_AFTER);
    for req in [unknown.clone(), unknown.without("Resumes")] {
        let sent_at = Instant::now();
        let response = vm.send_request(&req);
        assert_eq!(response.status, 503, "{response:?}");
        assert_eq!(error_code(&response), "stream_not_resumable");
        assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
    }
    assert!(executed_ids(&upstreams).is_empty());
}

#[test]
fn a_stream_of_unknown_origin_goes_on_beside_one_build() {
    // Guards against refusing streams after the loss of all VMs that knew where they began, with one version in service.
    let (store, upstreams) = start_builds(&["v7", "v7"]);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let vms = start_vms(&store, "one-build");
    wait_for_peers(&vms);
    let unknown = resume(&new_stream(), BROKEN_AFTER);
    for req in [unknown.clone(), unknown.without("Resumes")] {
        assert_goes_on(&vms[1].send_request(&req));
    }
}

fn assert_goes_on(response: &Response) {
    assert!(
        response.status == 200 && response.is_complete,
        "{response:?}"
    );
    let ids = ids_of(&response.events());
    assert_eq!(ids, (BROKEN_AFTER + 1..=EVENTS).collect::<Vec<_>>());
}

#[test]
fn a_stream_of_unknown_origin_is_refused_after_two_builds() {
    // Guards against going on at the version that is left, as the one that began the stream may have left before a VM started.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vms = start_vms(&store, "two-builds");
    open_and_kill(vms, &upstreams);
    store.remove(&upstreams[0].key());
    let vms = start_again(&store, "one-left");
    let unknown = resume(&new_stream(), BROKEN_AFTER);
    let callers = [unknown.clone(), unknown.without("Resumes")];
    for req in &callers {
        let refused = vms[1].send_request(req);
        assert_eq!(error_code(&refused), "stream_not_resumable");
    }
    for req in &callers {
        let mut last = None;
        wait_until("the VM has known the upstreams for long enough", || {
            let response = vms[1].send_request(req);
            let is_served = response.status == 200;
            last = Some(response).filter(|_| is_served);
            is_served
        });
        assert_goes_on(&last.unwrap());
    }
}

#[test]
fn a_stream_whose_build_has_left_is_refused_at_once() {
    // Guards against a caller that waits for its deadline, or goes on at another version, once the last upstream has left.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vm = Vm::start(&store);
    set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
    let req = new_stream();
    let events = vm.send_request(&req).events();
    let began = usize::from(builds_of(&events).contains("v2"));
    store.remove(&upstreams[began].key());
    wait_until("it is gone", || !vm.log_lines("upstream_gone").is_empty());

    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let next = resume(&req, BROKEN_AFTER);
    let sent_at = Instant::now();
    let response = vm.send_request(&next);
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(error_code(&response), "stream_not_resumable");
    assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
    assert!(!executed_ids(&upstreams).contains(&next.id().to_owned()));
}

#[test]
fn an_upstream_that_restarts_as_another_build_does_not_go_on() {
    // Guards against taking the id of an upstream for its software version.
    let (store, upstreams) = start_builds(&["v1"]);
    let vm = Vm::start(&store);
    set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
    let req = new_stream();
    vm.send_request(&req);
    upstreams[0].set_build("v2");
    let mut entry = upstreams[0].entry("app", "one", "ready");
    entry["born"] = json!(1_700_000_000_001_u64);
    store.put(&upstreams[0].key(), &entry);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let served = || vm.send_request(&Request::new("GET", "/read/")).status == 200;
    wait_until("the other run serves", served);
    wait_until("its entry is read", || vm.log().contains("build=v2"));
    let next = resume(&req, BROKEN_AFTER);
    let response = vm.send_request(&next);
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(error_code(&response), "stream_not_resumable");
    assert!(!executed_ids(&upstreams).contains(&next.id().to_owned()));
}

#[test]
fn callers_without_a_stream_to_resume_use_any_build() {
    // Guards against binding new streams, or streams that broke off before their first event, to a software version.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vm = Vm::start(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Events(EVENTS));
        upstream.next(Behaviour::CutAfter(0));
    }
    let responses = [
        vm.send_request(&new_stream()),
        vm.send_request(&new_stream()),
    ];
    let is_complete = |response: &&Response| response.is_complete;
    assert!(
        responses.iter().filter(is_complete).count() >= 1,
        "{responses:?}"
    );
}

/// Adds upstreams of a service `other`, and gives the route of streams these shares of `app` and `other`.
fn add_other_service(
    store: &KvStandIn,
    version: u64,
    shares: (u32, u32),
) -> Vec<UpstreamStandIn> {
    let mut config = deployment::config(version);
    let services = config["services"].as_array_mut().unwrap();
    services.push(json!({"name": "other", "health_path": "/healthz", "max_conns": 100}));
    config["routes"][2]["traffic_split"] = json!([
        {"service": "app", "weight": shares.0}, {"service": "other", "weight": shares.1},
    ]);
    let start = |number| {
        let upstream = UpstreamStandIn::start(&format!("o-{number}")).unwrap();
        upstream.set_build("v1");
        store.put(&upstream.key(), &upstream.entry("other", "one", "ready"));
        upstream
    };
    let upstreams = (0..2).map(start).collect();
    store.put("op/config", &config);
    upstreams
}

#[test]
fn a_resumption_stays_with_its_service() {
    // Guards against the rest of a stream from another service that shares the route, whose builds have the same names.
    let (store, upstreams) = start_builds(&["v1", "v1"]);
    let others = add_other_service(&store, 2, (1, 1));
    let vms = start_vms(&store, "split");
    wait_for_peers(&vms);
    let mut began_at_other = 0;
    for round in 0..16 {
        set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
        set_all(&others, &Behaviour::CutAfter(BROKEN_AFTER));
        let req = new_stream();
        vms[round % 3].send_request(&req);
        let is_other = executed_ids(&others).contains(&req.id().to_owned());
        began_at_other += usize::from(is_other);
        set_all(&upstreams, &Behaviour::Events(EVENTS));
        set_all(&others, &Behaviour::Events(EVENTS));
        let next = resume(&req, BROKEN_AFTER);
        let rest = vms[(round + 1) % 3].send_request(&next);
        assert_eq!(rest.status, 200, "round {round}: {rest:?}");
        let goes_on_at_other = executed_ids(&others).contains(&next.id().to_owned());
        assert_eq!(goes_on_at_other, is_other, "round {round}");
    }
    assert!((1..16).contains(&began_at_other), "{began_at_other} of 16");
}

#[test]
fn a_stream_whose_route_has_moved_is_not_resumed() {
    // Guards against the rest of a stream from the service to which its route has been moved.
    let (store, upstreams) = start_builds(&["v1", "v1"]);
    let vm = Vm::start(&store);
    set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
    let req = new_stream();
    vm.send_request(&req);
    let others = add_other_service(&store, 2, (0, 1));
    set_all(&others, &Behaviour::Events(EVENTS));
    wait_until("the route has moved", || {
        vm.send_request(&new_stream());
        !executed_ids(&others).is_empty()
    });
    let next = resume(&req, BROKEN_AFTER);
    let response = vm.send_request(&next);
    assert_eq!(error_code(&response), "stream_not_resumable");
    let has_run = |of: &[UpstreamStandIn]| executed_ids(of).contains(&next.id().to_owned());
    assert!(!has_run(&others) && !has_run(&upstreams));
}

#[test]
fn a_vm_that_has_just_started_asks_the_others() {
    // Guards against refusing a stream at a VM that serves callers before it knows the other VMs.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vms = start_vms(&store, "asked-by-new");
    wait_for_peers(&vms);
    set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
    let req = new_stream();
    let began = vms[0].send_request(&req).events();
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    // The request waits for the first configuration.
    let any_address = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = Proxy::start(any_address, store.address()).unwrap();
    link.set(Link {
        delay_ms: 60,
        ..Link::default()
    });
    let new = Vm::start_with_store(link.address(), &format!("new-{}", std::process::id()));
    let rest = new.send_request(&resume(&req, BROKEN_AFTER));
    assert_eq!(rest.status, 200, "{rest:?}");
    let all = [began, rest.events()].concat();
    assert_eq!(ids_of(&all), (1..=EVENTS).collect::<Vec<_>>());
    assert_eq!(builds_of(&all).len(), 1, "{all:?}");
}

#[test]
fn a_relay_does_not_send_to_another_build() {
    // Guards against a relaying VM that sends a stream's rest to an upstream which has restarted as another version.
    let (store, upstreams) = start_builds(&["v1"]);
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let relay = free_address();
    let vm = Vm::start_with_settings(store.address(), &format!("relay-{relay}"), |settings| {
        settings["listen"]["relay"] = json!(relay.to_string());
    });
    wait_until("it has read the entry", || {
        vm.send_request(&Request::new("GET", "/read/")).status == 200
    });
    for (target, status) in [("s-0 v2", 503), ("s-0 v1", 200), ("s-0", 200)] {
        let req = new_stream();
        let line = format!("/stream/ HTTP/1.1\r\nJasmine-Upstream: {target}\r\n");
        let text = String::from_utf8(req.bytes()).unwrap();
        let bytes = text.replacen("/stream/ HTTP/1.1\r\n", &line, 1);
        let response = deployment::exchange(relay, bytes.as_bytes()).unwrap();
        assert_eq!(response.status, status, "{target}: {response:?}");
        let has_run = executed_ids(&upstreams).contains(&req.id().to_owned());
        assert_eq!(has_run, status == 200, "{target}");
    }
}

/// An address at which nothing listens.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Time from the first events of a stream until its origin is in the store.
const STORING_TIME: Duration = Duration::from_secs(1);

/// Opens streams at all VMs, of which each gets its first events, then kills all VMs at once.
fn open_and_kill(
    vms: Vec<Vm>,
    upstreams: &[UpstreamStandIn],
) -> Vec<(Request, Vec<Event>)> {
    set_all(upstreams, &Behaviour::SilentAfter(BROKEN_AFTER));
    let requests: Vec<Request> = (0..12).map(|_| new_stream()).collect();
    let streams: Vec<_> = requests
        .iter()
        .zip(vms.iter().cycle())
        .map(|(req, vm)| open_stream(vm, req))
        .collect();
    thread::sleep(STORING_TIME);
    for vm in &vms {
        vm.signal(Signal::SIGKILL);
    }
    drop(vms);
    set_all(upstreams, &Behaviour::Events(EVENTS));
    let events = streams.into_iter().map(|(_connection, events)| events);
    requests.into_iter().zip(events).collect()
}

/// Starts VMs in place of those that were killed, and waits until they know the upstreams.
fn start_again(
    store: &KvStandIn,
    name: &str,
) -> Vec<Vm> {
    let vms = start_vms(store, name);
    for vm in &vms {
        wait_until("it serves", || vm.send_request(&new_stream()).status == 200);
    }
    vms
}

#[test]
fn streams_go_on_after_a_kill_of_all_vms() {
    // Guards against refusing all streams whose VMs were killed together, though the software that began them is there.
    let (store, upstreams) = start_builds(&["v1", "v2", "v1", "v2"]);
    let vms = start_vms(&store, "all-killed");
    let streams = open_and_kill(vms, &upstreams);
    let vms = start_again(&store, "all-again");
    for ((req, events), vm) in streams.iter().zip(vms.iter().cycle()) {
        let rest = vm.send_request(&resume(req, BROKEN_AFTER));
        assert_eq!(rest.status, 200, "{rest:?}");
        assert!(rest.is_complete, "{rest:?}");
        let all = [events.clone(), rest.events()].concat();
        assert_eq!(ids_of(&all), (1..=EVENTS).collect::<Vec<_>>());
        assert_eq!(builds_of(&all).len(), 1, "{all:?}");
    }
}

#[test]
fn streams_are_not_joined_after_a_kill_of_all_vms() {
    // Guards against going on at another software version, as the one that began the stream has left with all who knew.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vms = start_vms(&store, "left-killed");
    let streams = open_and_kill(vms, &upstreams);
    store.remove(&upstreams[0].key());
    let vms = start_again(&store, "left-again");
    for ((req, events), vm) in streams.iter().zip(vms.iter().cycle()) {
        let named = resume(req, BROKEN_AFTER);
        let unnamed = resume(req, BROKEN_AFTER).without("Resumes");
        for next in [named, unnamed] {
            let rest = vm.send_request(&next);
            let all = [events.clone(), rest.events()].concat();
            let builds = builds_of(&all);
            assert_eq!(
                builds.len(),
                1,
                "joined: {builds:?}, status {}",
                rest.status
            );
        }
    }
}

#[test]
fn a_resumption_waits_for_its_rate() {
    // Guards against refusing the rest of a stream whose account has tokens for it a moment later.
    let (store, upstreams) = start_builds(&["v1", "v2"]);
    let vm = Vm::start(&store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    let of_small = |req: Request| req.with("X-Api-Key", "key-of-small");
    set_all(&upstreams, &Behaviour::CutAfter(BROKEN_AFTER));
    let req = of_small(new_stream());
    let events = vm.send_request(&req).events();
    set_all(&upstreams, &Behaviour::Events(EVENTS));
    let call = || of_small(Request::new("GET", "/read/")).with("X-Token-Counts", "20,10");
    wait_until("the account has used its burst", || {
        vm.send_request(&call()).status == 429
    });
    let next = of_small(resume(&req, BROKEN_AFTER)).with("X-Token-Counts", "20,10");
    let rest = vm.send_request(&next);
    assert!(rest.status == 200 && rest.is_complete, "{rest:?}");
    let all = [events, rest.events()].concat();
    assert_eq!(ids_of(&all), (1..=EVENTS).collect::<Vec<_>>());
    // One that would have to wait beyond its deadline is refused at once.
    let sent_at = Instant::now();
    let late = next
        .with("X-Token-Counts", "90,10")
        .with("X-Deadline-Ms", "300");
    assert_eq!(vm.send_request(&late).status, 429);
    assert!(sent_at.elapsed() < AT_ONCE, "{:?}", sent_at.elapsed());
}
