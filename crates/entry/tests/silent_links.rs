//! Upstreams that are silent or break off while the links of VMs are tested, lost or restored.

mod deployment;

use {
    deployment::{Request, Vm, config, count_runs, start_vms, wait_until},
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    jasmine_testkit::proxy::{Fault, Link, Proxy},
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const EVENTS: u64 = 8;

/// Upstreams behind proxies.
struct Site {
    store: KvStandIn,
    upstreams: Vec<UpstreamStandIn>,
    links: Vec<Proxy>,
}

impl Site {
    /// Starts upstreams of routes with this latency objective.
    fn start(
        ids: &[&str],
        slo_ms: u64,
    ) -> Self {
        let store = KvStandIn::start().unwrap();
        let mut config = config(1);
        for route in config["routes"].as_array_mut().unwrap() {
            route["slo_ms"] = json!(slo_ms);
            route["gap_aim_ms"] = json!(1_000);
            route["timeout_ms"] = json!(10_000);
        }
        store.put("op/config", &config);
        let mut site = Self {
            store,
            upstreams: Vec::new(),
            links: Vec::new(),
        };
        for id in ids {
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

    fn set_default(
        &self,
        behaviour: &Behaviour,
    ) {
        for upstream in &self.upstreams {
            upstream.set_default(behaviour.clone());
        }
    }

    fn set_links(
        &self,
        mode: Fault,
    ) {
        for link in &self.links {
            link.set_mode(mode);
        }
    }

    fn wait_for_run(&self) {
        wait_until("it runs", || {
            self.upstreams
                .iter()
                .any(|upstream| !upstream.executed().is_empty())
        });
    }
}

fn wait_for_lost_links(vm: &Vm) {
    wait_until("the links count as lost", || {
        !vm.log_lines("links_lost").is_empty()
    });
}

#[test]
fn restored_links_begin_no_repetition() {
    // Guards against repeating calls that are within their patience because the links were lost for a moment.
    let site = Site::start(&["s-1", "s-2"], 2_500);
    let vm = Vm::start(&site.store);
    site.set_default(&Behaviour::Slow(Duration::from_secs(4)));
    let req = Request::new("GET", "/read/").with("X-Deadline-Ms", "10000");
    let (callers, bytes) = (vm.callers, req.bytes());
    let call = thread::spawn(move || deployment::exchange(callers, &bytes));
    site.wait_for_run();
    site.set_links(Fault::Cut);
    wait_for_lost_links(&vm);
    thread::sleep(Duration::from_millis(600));
    site.set_links(Fault::Pass);
    let response = call.join().unwrap().expect("a response");
    assert_eq!(response.status, 200);
    // The patience of a call is twice its objective, 5 s here; its answer is due after 4 s.
    assert_eq!(count_runs(&site.upstreams, req.id()), 1, "{}", vm.log());
}

/// Breaks a stream as all links of all VMs fail, restores them a second after the first VM counts its own as lost, and
/// expects the rest.
fn assert_broken_stream_survives(
    name: &str,
    fault: Fault,
) {
    let site = Site::start(&["s-1", "s-2"], 400);
    let vms = start_vms(&site.store, name);
    // Each VM learns how to reach the others.
    thread::sleep(Duration::from_secs(3));
    site.set_default(&Behaviour::Pauses(EVENTS, Duration::from_millis(600)));
    let bytes = Request::new("POST", "/stream/").body(b"prompt").bytes();
    let callers = vms[0].callers;
    let call = thread::spawn(move || deployment::exchange(callers, &bytes));
    site.wait_for_run();
    thread::sleep(Duration::from_millis(100));
    site.set_links(fault);
    wait_for_lost_links(&vms[0]);
    thread::sleep(Duration::from_secs(1));
    site.set_links(Fault::Pass);
    let response = call.join().unwrap().expect("a response");
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    let log = vms[0].log();
    assert!(
        response.is_complete && ids.iter().copied().eq(1..=EVENTS),
        "{ids:?}\n{log}"
    );
}

#[test]
fn a_broken_stream_waits_for_links_that_all_vms_have_lost() {
    // Guards against cutting an answer between two attempts before the other VMs have said whether they relay.
    assert_broken_stream_survives("links-reset", Fault::Reset);
}

#[test]
fn a_closed_stream_waits_for_links_that_all_vms_have_lost() {
    // As above, with connections that are closed.
    assert_broken_stream_survives("links-refuse", Fault::Refuse);
}

#[test]
fn a_hung_upstream_of_a_quiet_vm_is_silent() {
    // Guards against never recording a hung upstream because the links are tested as the deadline passes.
    let site = Site::start(&["s-1"], 400);
    let vm = Vm::start(&site.store);
    site.links[0].set(Link {
        delay_ms: 50,
        ..Link::default()
    });
    site.set_default(&Behaviour::Hang);
    let req = Request::new("POST", "/write/").with("X-Deadline-Ms", "2500");
    assert_eq!(vm.send_request(&req.body(b"enrol")).status, 504);
    wait_until("its end is logged", || {
        !vm.log_lines("attempt_failed").is_empty()
    });
    let failed = vm.log_lines("attempt_failed");
    assert!(
        failed.len() == 1 && failed[0].contains("outcome=Silent"),
        "{failed:?}\n{}",
        vm.log()
    );
}

#[test]
fn a_connection_that_breaks_before_the_deadline_waits_for_no_test() {
    // Guards against an answer later than the deadline because a broken connection begins a test of the links.
    let site = Site::start(&["s-1", "s-2", "s-3"], 400);
    let vm = Vm::start(&site.store);
    site.set_default(&Behaviour::Hang);
    let req = Request::new("POST", "/write/").with("X-Deadline-Ms", "290");
    let (callers, bytes) = (vm.callers, req.body(b"enrol").bytes());
    let began = Instant::now();
    let call = thread::spawn(move || deployment::exchange(callers, &bytes));
    site.wait_for_run();
    thread::sleep(Duration::from_millis(200).saturating_sub(began.elapsed()));
    for (upstream, link) in site.upstreams.iter().zip(&site.links) {
        link.set_mode(if upstream.executed().is_empty() {
            Fault::Cut
        } else {
            Fault::Reset
        });
    }
    let response = call.join().unwrap().expect("a response");
    let took = began.elapsed();
    assert!(response.status >= 500);
    // A test beside it gets the same 250 ms.
    assert!(took < Duration::from_millis(540), "after {took:?}");
}
