//! Upstreams that state in their responses that they are about to stop, with real daemons.

mod deployment;

use {
    deployment::{Request, Vm, call_all, start_platform, start_vms},
    jasmine_platform_stand_in::{Behaviour, Outage, UpstreamStandIn},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const HEADER: &str = "Server-Leaving";
/// How soon a departure is in force after the response that states it.
const GRACE: Duration = Duration::from_secs(2);
/// Callers of each VM: more than one upstream has slots for.
const CALLERS_PER_VM: usize = 4;

/// The number of requests that arrived after a time.
fn arrived_after(
    upstream: &UpstreamStandIn,
    from: Instant,
) -> usize {
    let arrivals = upstream.arrivals();
    arrivals.iter().filter(|arrival| arrival.at > from).count()
}

#[test]
fn a_departure_holds_until_a_restart() {
    // Guards against requests to an upstream that stops without a word in the store.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Slow(Duration::from_millis(100)));
    }
    let vms = start_vms(&store, "leaving");
    call_all(&vms, CALLERS_PER_VM, Duration::from_millis(300));
    upstreams[0].headers.set(HEADER, Some("1"));
    call_all(&vms, CALLERS_PER_VM, Duration::from_millis(500));
    let from = Instant::now() + GRACE;
    // A heartbeat that still says `ready`, and an entry that lapses and comes back.
    let mut entry = upstreams[0].entry("app", "one", "ready");
    entry["seq"] = json!(2);
    store.put(&upstreams[0].key(), &entry);
    call_all(&vms, CALLERS_PER_VM, GRACE);
    store.remove(&upstreams[0].key());
    thread::sleep(Duration::from_millis(300));
    store.put(&upstreams[0].key(), &entry);
    let served = call_all(&vms, CALLERS_PER_VM, GRACE);
    assert_eq!(arrived_after(&upstreams[0], from), 0);
    assert!(served > 50, "{served} served");

    upstreams[0].headers.set(HEADER, None);
    entry["born"] = json!(1_700_000_001_000_u64);
    store.put(&upstreams[0].key(), &entry);
    let restarted = Instant::now();
    call_all(&vms, CALLERS_PER_VM, GRACE);
    assert_ne!(arrived_after(&upstreams[0], restarted), 0);
}

#[test]
fn a_departure_holds_whoever_leads() {
    // Guards against a departure that is forgotten with the leader, and while nobody leads.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Slow(Duration::from_millis(100)));
    }
    let vms = start_vms(&store, "leaving-leader");
    // Each VM passes a response on that states it.
    upstreams[1].set_default(Behaviour::Shed);
    upstreams[0].headers.set(HEADER, Some("1"));
    call_all(&vms, CALLERS_PER_VM, Duration::from_millis(300));
    upstreams[1].set_default(Behaviour::Slow(Duration::from_millis(100)));
    let from = Instant::now() + GRACE;
    vms[0].signal(Signal::SIGKILL);
    call_all(&vms[1..], CALLERS_PER_VM, GRACE * 2);
    store.set_outage(Outage::Unavailable);
    let leads = |vm: &&Vm| !vm.log_lines("lead_taken").is_empty();
    vms[1..].iter().find(leads).unwrap().signal(Signal::SIGKILL);
    let last = vms[1..].iter().find(|vm| !leads(vm)).unwrap();
    call_all(std::slice::from_ref(last), CALLERS_PER_VM, GRACE);
    assert_eq!(arrived_after(&upstreams[0], from), 0);
}

#[test]
fn another_upstream_at_the_address_changes_nothing() {
    // Guards against a departure of an upstream that has taken over an address for a while.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vms = start_vms(&store, "leaving-other");
    upstreams[0].headers.set(HEADER, Some("1"));
    upstreams[0].next(Behaviour::Misdirected);
    let refused = vms[0].send_request(&Request::new("GET", "/read/").with("X-Deadline-Ms", "300"));
    assert_eq!(refused.status, 503);
    upstreams[0].headers.set(HEADER, None);
    let mut entry = upstreams[0].entry("app", "one", "ready");
    entry["seq"] = json!(2);
    store.put(&upstreams[0].key(), &entry);
    assert_ne!(
        call_all(&vms, CALLERS_PER_VM, Duration::from_millis(500)),
        0
    );
}
