//! Changes of the store that VMs have from one another.

mod deployment;

use {
    deployment::{LIMIT, Request, Vm, config, platform, until},
    jasmine_testkit::proxy::{Fault, Proxy},
    nix::sys::signal::Signal,
    serde_json::json,
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

/// Calls to the store a second, of twelve VMs: 16.9 where two of them follow it, 27.3 where all do, renewals included.
const MOST_CALLS: f64 = 22.0;

/// A configuration in which `read` has moved to this path.
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
    vm.ask(&Request::new("GET", path)).status == 200
}

#[test]
fn few_read_the_store() {
    // Twelve VMs in one data centre. If each followed the store by itself, what the store is asked would grow with the VMs,
    // and each call has its price. Of these at most two do: the one that serves the others, and the one that schedules.
    let (store, _upstreams) = platform(&["s-1"]);
    let vms: Vec<Vm> = (0..12).map(|_| Vm::start(&store)).collect();
    thread::sleep(Duration::from_millis(1_500));
    let (before, began) = (store.calls(), Instant::now());
    for version in 2..6 {
        let path = format!("/moved-{version}/");
        store.put("op/config", &moved(version, &path));
        for vm in &vms {
            until("it is in force", || is_served(vm, &path));
        }
        thread::sleep(Duration::from_millis(700));
    }
    let a_second = (store.calls() - before) as f64 / began.elapsed().as_secs_f64();
    println!("{a_second:.1} calls a second");
    assert!(a_second < MOST_CALLS, "{a_second} calls a second");
}

#[test]
fn a_reader_cut_off_from_the_store_is_left() {
    // The VM that hands changes on is cut off from the store without a word. The others reach the store and would notice
    // nothing but that no more changes come; a key that was withdrawn would go on working at all of them.
    let (store, _upstreams) = platform(&["s-1"]);
    let links: Vec<Proxy> = (0..3)
        .map(|_| Proxy::start(SocketAddr::from(([127, 0, 0, 1], 0)), store.address()).unwrap())
        .collect();
    let vms: Vec<Vm> = links
        .iter()
        .enumerate()
        .map(|(number, link)| {
            let name = format!("handed-{}-{number}", std::process::id());
            Vm::start_before(link.address(), &name)
        })
        .collect();
    for vm in &vms {
        until("it is ready", || vm.is_ready());
        until("somebody leads", || {
            !vm.logged("lead_taken").is_empty() || !vm.logged("leader_followed").is_empty()
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
            until("it is in force", || is_served(vm, &path));
        }
        let took = began.elapsed();
        println!("in force after {} ms", took.as_millis());
        assert!(took < Duration::from_secs(2), "{took:?}");
        link.set_mode(Fault::Pass);
        let vm = &vms[cut];
        until("it follows again", || is_served(vm, &path));
        thread::sleep(Duration::from_millis(3_300));
    }
}

#[test]
fn a_frozen_reader_is_left() {
    // The VM that hands changes on is frozen. Its connections stay open, and whoever waits for its word waits for ever.
    let (store, _upstreams) = platform(&["s-1"]);
    let vms: Vec<Vm> = (0..3).map(|_| Vm::start(&store)).collect();
    thread::sleep(Duration::from_millis(1_500));
    for frozen in 0..vms.len() {
        vms[frozen].signal(Signal::SIGSTOP);
        let version = frozen as u64 + 2;
        let path = format!("/moved-{version}/");
        let began = Instant::now();
        store.put("op/config", &moved(version, &path));
        for (_, vm) in vms
            .iter()
            .enumerate()
            .filter(|&(number, _)| number != frozen)
        {
            until("it is in force", || is_served(vm, &path));
        }
        assert!(
            began.elapsed() < Duration::from_secs(2),
            "{:?}",
            began.elapsed()
        );
        vms[frozen].signal(Signal::SIGCONT);
        until("it follows again", || is_served(&vms[frozen], &path));
        assert!(began.elapsed() < LIMIT);
        thread::sleep(Duration::from_millis(500));
    }
}
