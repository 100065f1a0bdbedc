//! Requests under which upstreams ended are known to other VMs, after changes of the leader and without one.

mod deployment;

use {
    deployment::{
        Request, Vm,
        ending_site::{DEADLY, Kind, MAX_ENDS, Site},
        exchange, start_vms, wait_until,
    },
    jasmine_platform_stand_in::{EndAt, Outage},
    nix::sys::signal::Signal,
    std::time::Duration,
};

const REPEAT_TIME: Duration = Duration::from_secs(5);

fn start(name: &str) -> (Site, Request) {
    let site = Site::start(Kind::Call, EndAt::Head, name);
    (site, Kind::Call.request(DEADLY))
}

/// Sends a request until each VM refuses it.
fn learn(
    site: &Site,
    request: &Request,
) {
    let refuses = |vm: &Vm| {
        let response = vm.send_raw(&request.bytes());
        response.is_some_and(|it| it.text().contains("request_quarantined"))
    };
    wait_until("all VMs refuse it", || site.vms.iter().all(refuses));
}

/// No further upstream ends under a request that its caller repeats.
fn assert_known(
    site: &Site,
    request: &Request,
) {
    let known = site.ends().len();
    site.repeat(request, REPEAT_TIME);
    assert_eq!(site.ends().len(), known);
}

#[test]
fn a_new_leader_knows_the_request() {
    // Guards against a verdict that is lost with the VM that reached it.
    let (mut site, request) = start("new-leader");
    learn(&site, &request);
    assert_eq!(site.ends().len(), MAX_ENDS);
    site.vms.remove(0).signal(Signal::SIGKILL);
    assert_known(&site, &request);
}

#[test]
fn a_new_leader_knows_earlier_ends() {
    // Guards against a leader that counts the ends under a request from its own election on.
    let (mut site, request) = start("earlier-ends");
    // The first attempt goes through a VM that stays, to two upstreams.
    let sent = site.vms[1].send_raw(&request.bytes());
    assert!(sent.is_some_and(|it| it.status == 502));
    assert_eq!(site.ends().len(), 2);
    site.vms.remove(0).signal(Signal::SIGKILL);
    site.repeat(&request, REPEAT_TIME);
    assert_eq!(site.ends().len(), MAX_ENDS);
}

#[test]
fn a_restarted_fleet_knows_the_request() {
    // Guards against a verdict that is lost when all VMs are killed.
    let (mut site, request) = start("restarted");
    learn(&site, &request);
    let is_stored = || {
        let keys = site.store.keys();
        keys.iter()
            .any(|key| key.starts_with("jasmine/quarantine/request."))
    };
    wait_until("it is stored", is_stored);
    for vm in site.vms.drain(..) {
        vm.signal(Signal::SIGKILL);
    }
    site.vms = start_vms(&site.store, "restarted-again");
    assert_known(&site, &request);
}

#[test]
fn a_vm_without_leader_refuses_the_request() {
    // Guards against VMs that send the request once no leader decides.
    let (mut site, request) = start("alone");
    learn(&site, &request);
    site.store.set_outage(Outage::Unavailable);
    site.vms.remove(0).signal(Signal::SIGKILL);
    assert_known(&site, &request);
}

#[test]
fn a_relay_doesnt_send_the_request() {
    // Guards against requests that a VM without links gets sent by others that refuse them.
    let (site, request) = start("relay");
    learn(&site, &request);
    let known = site.ends().len();
    let failed = site.vms[0].log_lines("attempt_failed").remove(0);
    let (_, fingerprint) = failed.split_once(" request=").unwrap();
    let fingerprint = fingerprint.split(' ').next().unwrap();
    let target = [
        ("Jasmine-Upstream", "s-1 v1"),
        ("Jasmine-Request", fingerprint),
    ];
    let target = target.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let mut relayed = request;
    relayed.headers.splice(0..0, target);
    for vm in &site.vms {
        let started = vm.log_lines("started").remove(0);
        let (_, address) = started.split_once(" relay=").unwrap();
        let address = address.split(' ').next().unwrap().parse().unwrap();
        let response = exchange(address, &relayed.bytes()).unwrap();
        assert_eq!(
            response.header("jasmine-not-relayed").as_deref(),
            Some("quarantined")
        );
    }
    assert_eq!(site.ends().len(), known);
}

#[test]
fn an_operator_releases_the_request() {
    // Guards against refusals that outlast the fault of the upstreams, which an operator has mended.
    let (site, request) = start("released");
    learn(&site, &request);
    let stored = || {
        let keys = site.store.keys();
        keys.into_iter()
            .find(|key| key.starts_with("jasmine/quarantine/request."))
    };
    wait_until("it is stored", || stored().is_some());
    site.mend();
    site.store.remove(&stored().unwrap());
    let is_served = |vm: &Vm| {
        let response = vm.send_raw(&request.bytes());
        response.is_some_and(|it| it.status == 200)
    };
    wait_until("all VMs serve it", || site.vms.iter().all(is_served));
}
