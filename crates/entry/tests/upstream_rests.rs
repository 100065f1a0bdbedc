//! Upstreams that turn requests away and ask the VM for rest, with real daemons.

mod deployment;

use {
    deployment::{Vm, call_all, call_through, start_platform, start_vms},
    jasmine_platform_stand_in::{Behaviour, KvStandIn, Outage, UpstreamStandIn},
    nix::sys::signal::Signal,
    std::time::{Duration, Instant},
};

const HEADER: &str = "Retry-After";
/// The rest that upstreams ask for.
const REST: Duration = Duration::from_secs(2);
/// How soon a rest is in force after the response that asks for it.
const GRACE: Duration = Duration::from_millis(500);
/// Requests of one VM allowed in a rest.
const ALLOWED: usize = 2;
/// Callers of each VM: more than one upstream has slots for.
const CALLERS_PER_VM: usize = 5;
/// Time in which an upstream runs a request.
const RUN_TIME: Duration = Duration::from_millis(100);

/// Makes an upstream turn all requests away and ask for rest.
fn turn_away(upstream: &UpstreamStandIn) {
    upstream.set_default(Behaviour::Shed);
    let seconds = REST.as_secs().to_string();
    upstream.headers.set(HEADER, Some(&seconds));
}

/// The most requests of one VM that arrived in a rest that it had been asked for.
fn most_in_a_rest(
    upstream: &UpstreamStandIn,
    vms: &[Vm],
) -> usize {
    let arrivals = upstream.arrivals();
    let of_vm = |vm: &Vm| {
        let prefix = format!("{}.", vm.name);
        let own = arrivals
            .iter()
            .filter(|arrival| arrival.request_id.starts_with(&prefix));
        let times: Vec<Instant> = own.map(|arrival| arrival.at).collect();
        let in_rest = |&asked: &Instant| {
            let rest = asked + GRACE..asked + REST;
            times.iter().filter(|at| rest.contains(*at)).count()
        };
        times.iter().map(in_rest).max().unwrap_or_default()
    };
    vms.iter().map(of_vm).max().unwrap_or_default()
}

#[test]
fn a_vm_leaves_an_upstream_its_rest() {
    // Guards against an upstream in trouble that gets more requests because it looks idle.
    let (_store, upstreams, vms) = start("rest");
    turn_away(&upstreams[0]);
    let served = call_all(&vms, CALLERS_PER_VM, REST * 3);
    let most = most_in_a_rest(&upstreams[0], &vms);
    assert!(most <= ALLOWED, "{most} requests of one VM in a rest");
    assert!(served > 200, "{served} served");
    let tried = upstreams[0].arrivals().len();
    assert!(
        tried >= vms.len() * 2,
        "{tried} requests: it is tried after each rest"
    );
    upstreams[0].set_default(Behaviour::Slow(RUN_TIME));
    call_all(&vms, CALLERS_PER_VM, REST);
    assert!(!upstreams[0].executed().is_empty());
}

#[test]
fn a_rest_holds_whoever_leads() {
    // Guards against a rest that a VM forgets with its leader, or of which a new leader isn't told.
    let (store, upstreams, vms) = start("rest-leader");
    turn_away(&upstreams[0]);
    call_all(&vms, CALLERS_PER_VM, GRACE);
    vms[0].signal(Signal::SIGKILL);
    call_all(&vms[1..], CALLERS_PER_VM, REST * 2);
    store.set_outage(Outage::Unavailable);
    let leads = |vm: &&Vm| !vm.log_lines("lead_taken").is_empty();
    vms[1..].iter().find(leads).unwrap().signal(Signal::SIGKILL);
    let last = vms[1..].iter().find(|vm| !leads(vm)).unwrap();
    call_all(std::slice::from_ref(last), CALLERS_PER_VM, REST * 2);
    let most = most_in_a_rest(&upstreams[0], &vms);
    assert!(most <= ALLOWED, "{most} requests of one VM in a rest");
}

#[test]
fn a_request_that_no_rested_upstream_can_serve_is_refused_at_once() {
    // Guards against callers that wait until their deadline for upstreams that all want rest.
    let (_store, upstreams, vms) = start("rest-all");
    upstreams.iter().for_each(turn_away);
    call_all(&vms[..1], CALLERS_PER_VM, Duration::from_millis(300));
    let began = Instant::now();
    let request = call_through(&vms[0]).with("X-Deadline-Ms", "900");
    let response = vms[0].send_request(&request);
    assert_eq!(response.status, 503);
    assert!(
        began.elapsed() < Duration::from_millis(400),
        "{:?}",
        began.elapsed()
    );
    let retry_after: f64 = response.header("Retry-After").unwrap().parse().unwrap();
    let left = REST.as_secs_f64() - 0.3;
    assert!((0.5..=left + 0.3).contains(&retry_after), "{retry_after}");
}

/// Starts a store, the upstreams `s-1` and `s-2`, and three VMs.
fn start(name: &str) -> (KvStandIn, Vec<UpstreamStandIn>, Vec<Vm>) {
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Slow(RUN_TIME));
    }
    let vms = start_vms(&store, name);
    (store, upstreams, vms)
}
