//! Relaying of store changes between VMs.

mod deployment;

use {
    deployment::{Request, TIMEOUT, Vm, config, start_linked_vms, start_platform, wait_until},
    jasmine_testkit::proxy::Fault,
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Calls to the store per second from twelve VMs, including lease renewals; exceeded if each VM reads it directly.
const MAX_CALLS_PER_S: f64 = 22.0;

/// A configuration in which the route `read` has this path.
fn moved(
    version: u64,
    path: &str,
) -> serde_json::Value {
    let mut next = config(version);
    next["routes"][0]["path_prefix"] = json!(path);
    next
}

fn is_served(
    vm: &Vm,
    path: &str,
) -> bool {
    vm.send_request(&Request::new("GET", path)).status == 200
}

#[test]
fn few_vms_read_the_store() {
    // Guards against store load that grows with the number of VMs: only the relay and the leader read the store.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms: Vec<Vm> = (0..12).map(|_| Vm::start(&store)).collect();
    thread::sleep(Duration::from_millis(1_500));
    let (before, began) = (store.calls(), Instant::now());
    for version in 2..6 {
        let path = format!("/moved-{version}/");
        store.put("op/config", &moved(version, &path));
        for vm in &vms {
            wait_until("the configuration is applied", || is_served(vm, &path));
        }
        thread::sleep(Duration::from_millis(700));
    }
    let calls_per_s = (store.calls() - before) as f64 / began.elapsed().as_secs_f64();
    println!("{calls_per_s:.1} calls per second");
    assert!(
        calls_per_s < MAX_CALLS_PER_S,
        "{calls_per_s} calls per second"
    );
}

#[test]
fn a_relay_cut_off_from_the_store_is_replaced() {
    // Guards against stale configuration, such as a revoked key, on all VMs when the relay loses the store unnoticed.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let (links, vms) = start_linked_vms(&store, "handed", 3);
    for vm in &vms {
        wait_until("it is ready", || vm.is_ready());
        wait_until("a leader is known", || {
            !vm.log_lines("lead_taken").is_empty() || !vm.log_lines("leader_followed").is_empty()
        });
    }
    thread::sleep(Duration::from_millis(1_500));
    for (cut, link) in links.iter().enumerate() {
        link.set_mode(Fault::Cut);
        let version = cut as u64 + 2;
        let path = format!("/moved-{version}/");
        let began = Instant::now();
        store.put("op/config", &moved(version, &path));
        for (_, vm) in vms.iter().enumerate().filter(|&(number, _)| number != cut) {
            wait_until("the configuration is applied", || is_served(vm, &path));
        }
        let took = began.elapsed();
        println!("applied after {} ms", took.as_millis());
        assert!(took < Duration::from_secs(2), "{took:?}");
        link.set_mode(Fault::Pass);
        let vm = &vms[cut];
        wait_until("it reads changes again", || is_served(vm, &path));
        thread::sleep(Duration::from_millis(3_300));
    }
}

#[test]
fn a_suspended_relay_is_replaced() {
    // Guards against waiting forever for a suspended relay, whose connections stay open.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vms: Vec<Vm> = (0..3).map(|_| Vm::start(&store)).collect();
    thread::sleep(Duration::from_millis(1_500));
    for suspended in 0..vms.len() {
        vms[suspended].signal(Signal::SIGSTOP);
        let version = suspended as u64 + 2;
        let path = format!("/moved-{version}/");
        let began = Instant::now();
        store.put("op/config", &moved(version, &path));
        for (_, vm) in vms
            .iter()
            .enumerate()
            .filter(|&(number, _)| number != suspended)
        {
            wait_until("the configuration is applied", || is_served(vm, &path));
        }
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{:?}",
            began.elapsed()
        );
        vms[suspended].signal(Signal::SIGCONT);
        wait_until("it reads changes again", || {
            is_served(&vms[suspended], &path)
        });
        assert!(began.elapsed() < TIMEOUT);
        thread::sleep(Duration::from_millis(500));
    }
}
