//! What callers get of their account's rate limit when another VM takes over the lead.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, start_vms, wait_until},
    jasmine_platform_stand_in::{KvStandIn, UpstreamStandIn},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Cost of a call in tokens.
const CALL_COST: u64 = 10;
/// The limit of the account: a burst of a hundred calls, and five calls a second.
const BURST: u64 = 1_000;
const RATE: u64 = 50;
/// Callers at each VM that send a call at the same time; those of two VMs are well within the burst.
const CALLERS: usize = 30;
/// Time over which a limit is judged, and a little more: VMs that have run for so long know all that was used.
const WINDOW: Duration = Duration::from_millis(8_300);

/// Three VMs, the first of which leads, before an account that has used nothing.
fn start(name: &str) -> (KvStandIn, Vec<UpstreamStandIn>, Vec<Vm>) {
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let mut config = deployment::config(2);
    let busy = json!({
        "name": "busy", "api_keys": ["key-of-busy"], "unit": "token_metered", "plain_tokens": CALL_COST,
        "rate_per_s": RATE, "burst": BURST,
    });
    config["tenants"].as_array_mut().unwrap().push(busy);
    store.put("op/config", &config);
    let vms = start_vms(&store, name);
    thread::sleep(WINDOW);
    (store, upstreams, vms)
}

fn call() -> Request {
    Request::new("GET", "/read/").with("X-Api-Key", "key-of-busy")
}

/// Sends a call of each caller at all VMs at the same time; returns how many were served and how many were rate-limited.
fn call_at_once(vms: &[Vm]) -> (usize, usize) {
    let statuses: Vec<u16> = thread::scope(|scope| {
        let callers = vms.iter().flat_map(|vm| vec![vm; CALLERS]);
        let callers: Vec<_> = callers
            .map(|vm| scope.spawn(move || vm.send_request(&call()).status))
            .collect();
        let statuses = callers.into_iter().map(|caller| caller.join().unwrap());
        statuses.collect()
    });
    let count = |status| statuses.iter().filter(|&&other| other == status).count();
    (count(200), count(429))
}

fn has_leader(vms: &[Vm]) -> bool {
    vms.iter().any(|vm| !vm.log_lines("lead_taken").is_empty())
}

#[test]
fn calls_that_wait_for_a_takeover_are_served_within_the_limit() {
    // Guards against calls that are rate-limited after a planned stop of the leader, although their account has used next to nothing.
    let (_store, _upstreams, vms) = start("handover");
    let (leader, others) = vms.split_first().unwrap();
    leader.signal(Signal::SIGTERM);
    wait_until("another VM leads", || has_leader(others));
    let (served, limited) = call_at_once(others);
    assert_eq!((served, limited), (2 * CALLERS, 0));
}

#[test]
fn a_killed_leader_s_burst_is_not_allowed_twice() {
    // Guards against a successor that counts as unused what only its killed predecessor knew to be used.
    let (_store, _upstreams, vms) = start("killed");
    let (leader, others) = vms.split_first().unwrap();
    let began = Instant::now();
    let mut served = 0;
    while leader.send_request(&call()).status == 200 {
        served += 1;
    }
    leader.signal(Signal::SIGKILL);
    wait_until("another VM leads", || has_leader(others));
    served += call_at_once(others).0 as u64;
    served += call_at_once(others).0 as u64;
    assert!(began.elapsed() < WINDOW, "{:?}", began.elapsed());
    let used = served * CALL_COST;
    // The rate of a whole window, the burst and a twentieth of both.
    let allowed = (RATE * 8 + BURST) * 21 / 20;
    assert!(used <= allowed, "{used} tokens of {allowed}");
}
