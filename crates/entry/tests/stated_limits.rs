//! Request limits that upstreams state in their responses, with real daemons.

mod deployment;

use {
    deployment::{call_all, start_platform, start_vms},
    jasmine_platform_stand_in::{Outage, UpstreamStandIn},
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
};

/// The header in which an upstream states its limit.
const HEADER: &str = "Server-Limit";
/// The stated limit, in requests per second.
const LIMIT: &str = "1";
/// How soon the limit is in force after it was first stated.
const GRACE: Duration = Duration::from_secs(3);
/// Callers of each VM.
const CALLERS_PER_VM: usize = 1;
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in a window at the stated limit: one and a half times the limit, and five.
const ALLOWED: usize = 11;

/// The most requests that arrived in any window after `from`.
fn most_in_a_window(
    upstream: &UpstreamStandIn,
    from: Instant,
) -> usize {
    let arrivals = upstream.arrivals();
    let times = arrivals.iter().map(|arrival| arrival.at);
    let late: Vec<Instant> = times.filter(|&at| at >= from).collect();
    let count = |&start: &Instant| {
        let in_window = late
            .iter()
            .filter(|&&at| at >= start && at < start + WINDOW);
        in_window.count()
    };
    late.iter().map(count).max().unwrap_or_default()
}

#[test]
fn a_stated_limit_holds_over_all_vms() {
    // Guards against an upstream in need that gets more requests than it has said it takes.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vms = start_vms(&store, "limit");
    upstreams[0].headers.set(HEADER, Some(LIMIT));
    let from = Instant::now() + GRACE;
    let served = call_all(&vms, CALLERS_PER_VM, GRACE + WINDOW * 2);
    let most = most_in_a_window(&upstreams[0], from);
    assert!((1..=ALLOWED).contains(&most), "{most} requests in a window");
    assert!(served > 500, "{served} served");

    upstreams[0].headers.set(HEADER, None);
    call_all(&vms, CALLERS_PER_VM, Duration::from_secs(2));
    store.put(
        &upstreams[1].key(),
        &upstreams[1].entry("app", "one", "draining"),
    );
    call_all(&vms, CALLERS_PER_VM, Duration::from_secs(1));
    let before = upstreams[0].arrivals().len();
    call_all(&vms, CALLERS_PER_VM, Duration::from_secs(1));
    let after = upstreams[0].arrivals().len() - before;
    assert!(
        after > ALLOWED,
        "{after} requests after the limit has ended"
    );
}

#[test]
fn a_stated_limit_holds_without_a_leader() {
    // Guards against VMs that each take a limit for their own while nobody leads.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vms = start_vms(&store, "limit-alone");
    upstreams[0].headers.set(HEADER, Some(LIMIT));
    let from = Instant::now() + GRACE;
    call_all(&vms, CALLERS_PER_VM, GRACE);
    store.set_outage(Outage::Unavailable);
    vms[0].signal(Signal::SIGKILL);
    let served = call_all(&vms[1..], CALLERS_PER_VM, WINDOW * 2);
    let most = most_in_a_window(&upstreams[0], from);
    assert!(most <= ALLOWED, "{most} requests in a window");
    assert!(served > 200, "{served} served");
}

#[test]
fn a_stated_limit_survives_a_takeover() {
    // Guards against a new leader that doesn't know of a limit, or uses it once more at once.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vms = start_vms(&store, "limit-takeover");
    upstreams[0].headers.set(HEADER, Some(LIMIT));
    let from = Instant::now() + GRACE;
    call_all(&vms, CALLERS_PER_VM, GRACE);
    vms[0].signal(Signal::SIGKILL);
    call_all(&vms[1..], CALLERS_PER_VM, WINDOW * 2);
    let is_taken_over = vms[1..]
        .iter()
        .any(|vm| !vm.log_lines("lead_taken").is_empty());
    assert!(is_taken_over, "another VM leads");
    let most = most_in_a_window(&upstreams[0], from);
    assert!(most <= ALLOWED, "{most} requests in a window");
}
