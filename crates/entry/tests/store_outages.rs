//! Store outages, lost history and malformed entries.

mod deployment;

use {
    deployment::{Request, Vm, start_linked_vms, start_platform, wait_until},
    jasmine_platform_stand_in::{KvStandIn, Outage, UpstreamStandIn},
    jasmine_testkit::proxy::Fault,
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// How long one VM alone doesn't reach the store.
const OWN_OUTAGE: Duration = Duration::from_secs(3);
/// How long after its removal an upstream may get requests.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn leads(vm: &Vm) -> bool {
    !vm.log_lines("lead_taken").is_empty()
}

/// The requests that arrive later than [`DRAIN_TIME`] after an upstream was removed from the store.
fn late_arrivals(
    store: &KvStandIn,
    vm: &Vm,
    upstreams: &[UpstreamStandIn],
) -> usize {
    let before: Vec<usize> = upstreams.iter().map(|up| up.arrivals().len()).collect();
    vm.send_request(&Request::new("GET", "/read/"));
    let in_use = (0..upstreams.len())
        .find(|&number| upstreams[number].arrivals().len() > before[number])
        .unwrap();
    store.remove(&upstreams[in_use].key());
    let removed_at = Instant::now();
    while removed_at.elapsed() < DRAIN_TIME + Duration::from_secs(1) {
        vm.send_request(&Request::new("GET", "/read/"));
        thread::sleep(Duration::from_millis(20));
    }
    let arrivals = upstreams[in_use].arrivals();
    let is_late = |at: Instant| at.saturating_duration_since(removed_at) > DRAIN_TIME;
    arrivals
        .iter()
        .filter(|arrival| is_late(arrival.at))
        .count()
}

#[test]
fn callers_are_served_through_an_outage() {
    // Guards against failed requests during a store outage: VMs keep the last known state.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for outage in [
        Outage::Unavailable,
        Outage::TooManyRequests,
        Outage::Reset,
        Outage::Silent,
        Outage::LostResponses,
    ] {
        store.set_outage(outage);
        thread::sleep(Duration::from_millis(300));
        assert_eq!(
            vm.send_request(&Request::new("GET", "/read/")).status,
            200,
            "{outage:?}"
        );
        assert!(vm.is_ready(), "{outage:?}");
    }
    store.set_outage(Outage::None);
    let mut next = deployment::config(9);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    store.put("op/config", &next);
    wait_until("it reads changes again", || {
        vm.send_request(&Request::new("GET", "/moved/")).status == 200
    });
}

#[test]
fn a_start_without_the_store_waits_for_it() {
    // Guards against a VM that serves requests, or reports ready, before it has read its configuration.
    let (store, upstreams) = start_platform(&["s-1"]);
    store.set_outage(Outage::Silent);
    let vm = Vm::start_unready(&store);
    assert!(!vm.is_ready());
    let response = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert_eq!(upstreams[0].executed(), []);
    store.set_outage(Outage::None);
    wait_until("it is ready", || vm.is_ready());
    assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
}

#[test]
fn lost_history_triggers_a_full_read() {
    // Guards against missing changes for good when the store drops the history that contains them.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    store.set_outage(Outage::Unavailable);
    thread::sleep(Duration::from_millis(100));
    let mut next = deployment::config(3);
    next["routes"][0]["path_prefix"] = json!("/moved/");
    store.put("op/config", &next);
    store.compact_history();
    store.set_outage(Outage::None);
    wait_until("the change is applied", || {
        vm.send_request(&Request::new("GET", "/moved/")).status == 200
    });
    // Log lines are written with a delay.
    wait_until("it is logged", || !vm.log_lines("history_lost").is_empty());
}

#[test]
fn malformed_entries_are_skipped() {
    // Guards against malformed upstream entries from other writers affecting the valid ones.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let valid = upstreams[0].entry("app", "one", "ready");
    let broken = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut entry = valid.clone();
        change(&mut entry);
        entry.to_string().into_bytes()
    };
    let values = [
        vec![0xff, 0xfe],
        b"null".to_vec(),
        broken(&|entry| entry["address"] = json!("nowhere")),
        broken(&|entry| entry["slots"] = json!("six")),
        broken(&|entry| entry["state"] = json!("resting")),
        broken(&|entry| drop(entry.as_object_mut().unwrap().remove("zone"))),
        broken(&|entry| entry["born"] = json!(1.5)),
    ];
    for (at, value) in values.iter().enumerate() {
        store.put_bytes(&format!("servers/bad-{at}"), value);
    }
    store.put_bytes("op/version/base.a1", b"[]");
    wait_until("all were read", || {
        vm.log_lines("entry_unreadable").len() >= values.len()
    });
    for _ in 0..5 {
        assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
    }
}

#[test]
fn a_leaving_upstream_gets_no_new_requests() {
    // Guards against new requests to an upstream that is draining or whose entry was removed.
    let (store, upstreams) = start_platform(&["s-1", "s-2", "s-3"]);
    let vm = Vm::start(&store);
    store.put(
        &upstreams[0].key(),
        &upstreams[0].entry("app", "one", "draining"),
    );
    store.remove(&upstreams[1].key());
    thread::sleep(Duration::from_millis(1_900));
    let run_count = |upstream: &UpstreamStandIn| upstream.executed().len();
    let (first, second) = (run_count(&upstreams[0]), run_count(&upstreams[1]));
    for _ in 0..10 {
        assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
    }
    assert_eq!(run_count(&upstreams[0]), first);
    assert_eq!(run_count(&upstreams[1]), second);
}

/// Guards against missing a removed upstream when the entries span several pages of the store.
#[test]
fn paged_reads_detect_removed_upstreams() {
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    for number in 0..40 {
        let key = format!("servers/r-{number:02}");
        store.put(&key, &upstreams[0].entry("spare", "one", "ready"));
    }
    let vm = Vm::start(&store);
    wait_until("all were read", || !vm.log_lines("store_read").is_empty());
    store.set_outage(Outage::Unavailable);
    thread::sleep(Duration::from_millis(100));
    store.remove(&upstreams[1].key());
    store.compact_history();
    store.set_outage(Outage::None);
    wait_until("the removal is known", || {
        !vm.log_lines("upstream_gone").is_empty()
    });
    let before = upstreams[1].executed().len();
    for _ in 0..10 {
        assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
    }
    assert_eq!(upstreams[1].executed().len(), before);
}

#[test]
fn a_leader_back_from_its_own_outage_drops_a_removed_upstream() {
    // Guards against requests to an upstream that has left, because only the leader had lost the store and keeps its entry.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let (links, vms) = start_linked_vms(&store, "own-outage", 3);
    wait_until("one leads", || vms.iter().any(leads));
    let leader = vms.iter().position(leads).unwrap();
    // Until the leader has read of the others.
    thread::sleep(Duration::from_millis(1_500));
    links[leader].set_mode(Fault::Cut);
    wait_until("it has lost the store", || {
        !vms[leader].log_lines("store_lost").is_empty()
    });
    thread::sleep(OWN_OUTAGE);
    links[leader].set_mode(Fault::Pass);
    wait_until("it is back", || {
        vms[leader].log().contains("event=store_back")
    });
    assert!(vms[leader].log_lines("lead_lost").is_empty(), "it led on");
    let late = late_arrivals(&store, &vms[leader], &upstreams);
    assert_eq!(late, 0, "requests after {DRAIN_TIME:?}");
}

#[test]
fn a_suspended_vm_does_not_delay_departures_for_others() {
    // Guards against a VM that takes its own suspension for an outage of the store, and tells that to those it serves.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let (_links, vms) = start_linked_vms(&store, "suspended", 3);
    wait_until("one leads", || vms.iter().any(leads));
    // Until the VMs have read of each other.
    thread::sleep(Duration::from_millis(1_500));
    for suspended in 0..vms.len() {
        let other = (suspended + 1) % vms.len();
        vms[suspended].signal(Signal::SIGSTOP);
        thread::sleep(OWN_OUTAGE);
        vms[suspended].signal(Signal::SIGCONT);
        thread::sleep(Duration::from_millis(500));
        let late = late_arrivals(&store, &vms[other], &upstreams);
        assert_eq!(late, 0, "VM {other}, after VM {suspended} was suspended");
        for upstream in &upstreams {
            store.put(&upstream.key(), &upstream.entry("app", "one", "ready"));
        }
        thread::sleep(Duration::from_millis(500));
    }
}

#[test]
fn an_entry_that_lapsed_in_an_outage_of_the_store_may_come_back() {
    // Guards against dropping running upstreams whose entries lapsed because nobody reached the store.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    store.set_outage(Outage::Unavailable);
    wait_until("it has lost the store", || {
        !vm.log_lines("store_lost").is_empty()
    });
    thread::sleep(OWN_OUTAGE);
    store.remove(&upstreams[0].key());
    store.set_outage(Outage::None);
    wait_until("it is back", || vm.log().contains("event=store_back"));
    let back_at = Instant::now();
    while back_at.elapsed() < DRAIN_TIME {
        let response = vm.send_request(&Request::new("GET", "/read/"));
        assert_eq!(response.status, 200, "{:?}", back_at.elapsed());
        thread::sleep(Duration::from_millis(20));
    }
    wait_until("it is dropped in the end", || {
        !vm.log_lines("upstream_gone").is_empty()
    });
}
