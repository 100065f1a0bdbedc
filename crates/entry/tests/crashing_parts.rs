//! Prompts with a part that crashes each engine that begins to answer them.

mod deployment;

use {
    deployment::{
        Vm,
        crashing_site::generation,
        exchange,
        part_arrivals::{MAX_CRASHES, MAX_LATE, PartArrivals},
        start_platform, start_vms, wait_until,
    },
    jasmine_platform_stand_in::{EngineStandIn, KvStandIn, Outage},
    nix::sys::signal::Signal,
    std::{
        thread,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 6;
/// Time between two events of an answer.
const EVENT_GAP: Duration = Duration::from_millis(20);
const CALL_INTERVAL: Duration = Duration::from_millis(40);
/// Time between crashes that no prompt causes.
const CRASH_INTERVAL: Duration = Duration::from_millis(1_200);
/// The part that crashes engines, and the first part that all prompts share.
const BAD: &str = "bad0";
const FIRST: &str = "f1";

fn start_engines(store: &KvStandIn) -> Vec<EngineStandIn> {
    let start = |number| {
        let engine = EngineStandIn::start(&format!("e-{number}")).unwrap();
        engine.crash_on(&[BAD], EVENT_GAP);
        store.put(&engine.key(), &engine.entry("llm", "one"));
        engine
    };
    (0..ENGINES).map(start).collect()
}

/// Sends prompts with these parts through all VMs for a while; returns when each was sent and whether it was served.
fn call_all(
    vms: &[Vm],
    parts: &[&str],
    time: Duration,
) -> Vec<(Instant, bool)> {
    let until = Instant::now() + time;
    let call = |vm: &Vm| {
        let mut calls = Vec::new();
        while Instant::now() < until {
            let sent = Instant::now();
            let response = vm.send_request(&generation(parts));
            calls.push((sent, response.status == 200 && response.is_complete));
            thread::sleep(CALL_INTERVAL);
        }
        calls
    };
    thread::scope(|scope| {
        let callers: Vec<_> = vms.iter().map(|vm| scope.spawn(move || call(vm))).collect();
        let calls = callers.into_iter();
        calls.flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// When requests with a part reached engines.
fn arrivals(
    engines: &[EngineStandIn],
    part: &str,
) -> Vec<Instant> {
    let arrived = engines.iter().flat_map(EngineStandIn::arrivals);
    let arrived = arrived.filter(|arrival| arrival.parts.iter().any(|id| id == part));
    arrived.map(|arrival| arrival.at).collect()
}

/// Lets prompts with a part crash engines until the VMs refuse them.
fn learn(
    vms: &[Vm],
    part: &str,
) {
    let refuses = |vm: &Vm| {
        let response = vm.send_request(&generation(&[FIRST, part]));
        response.text().contains("prompt_quarantined")
    };
    let all_refuse = || vms.iter().all(refuses);
    wait_until("all VMs refuse the part", all_refuse);
}

/// Prompts with the part reach engines a few times at most while callers send them to all VMs.
fn assert_stays_refused(
    vms: &[Vm],
    engines: &[EngineStandIn],
    known: usize,
) {
    call_all(vms, &[FIRST, BAD], Duration::from_secs(4));
    let late = arrivals(engines, BAD).len() - known;
    assert!(late <= MAX_LATE, "{late} requests with the part");
}

#[test]
fn a_crashing_part_stops_after_few_crashes() {
    // Guards against requests with one part in their prompts that crash one engine after another.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let vms = start_vms(&store, "few");
    let time = Duration::from_secs(9);
    let (sound, _) = thread::scope(|scope| {
        let sound = scope.spawn(|| call_all(&vms, &[FIRST, "5a"], time));
        let bad = scope.spawn(|| call_all(&vms, &[FIRST, BAD], time));
        (sound.join().unwrap(), bad.join().unwrap())
    });
    let late = PartArrivals::at(&engines, BAD).late.len();
    assert!(late <= MAX_LATE, "{late} requests with the part");

    // Guards against refusing what shares the route, the account and the first part.
    let settled = Duration::from_secs(2);
    let last = sound.iter().filter(|(at, _)| at.elapsed() < settled);
    let (served, sent) = last.fold((0, 0), |(served, sent), (_, is_served)| {
        (served + usize::from(*is_served), sent + 1)
    });
    assert!(served * 2 >= sent, "{served} of {sent} served");
}

#[test]
fn a_second_part_is_found_beside_the_first() {
    // Guards against a verdict on one part that hides the next one.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let vms = start_vms(&store, "second");
    learn(&vms, BAD);
    for engine in &engines {
        engine.crash_on(&[BAD, "bad1"], EVENT_GAP);
    }
    learn(&vms, "bad1");
    let count: usize = engines.iter().map(|engine| engine.crashes().len()).sum();
    assert!(count <= 2 * MAX_CRASHES, "{count} crashes");
}

#[test]
fn a_new_leader_knows_the_part() {
    // Guards against a verdict that is lost with the VM that reached it.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let mut vms = start_vms(&store, "leader");
    learn(&vms, BAD);
    let known = arrivals(&engines, BAD).len();
    vms.remove(0).signal(Signal::SIGKILL);
    assert_stays_refused(&vms, &engines, known);
}

#[test]
fn a_restarted_fleet_knows_the_part() {
    // Guards against a verdict that is lost when all VMs are killed.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let vms = start_vms(&store, "restarted");
    learn(&vms, BAD);
    let known = arrivals(&engines, BAD).len();
    for vm in vms {
        vm.signal(Signal::SIGKILL);
    }
    let vms = start_vms(&store, "again");
    assert_stays_refused(&vms, &engines, known);
}

#[test]
fn a_vm_without_leader_refuses_the_part() {
    // Guards against VMs that send requests with the part once no leader decides.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let mut vms = start_vms(&store, "alone");
    learn(&vms, BAD);
    let known = arrivals(&engines, BAD).len();
    store.set_outage(Outage::Unavailable);
    vms.remove(0).signal(Signal::SIGKILL);
    assert_stays_refused(&vms, &engines, known);
}

#[test]
fn a_relay_sends_no_quarantined_part() {
    // Guards against prompts that a VM without links and without leader gets sent by others that refuse the part.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let vms = start_vms(&store, "relay");
    learn(&vms, BAD);
    let known = arrivals(&engines, BAD).len();
    let relay = |vm: &Vm, parts: &[&str]| {
        let started = vm.log_lines("started").remove(0);
        let (_, address) = started.split_once(" relay=").unwrap();
        let address = address.split(' ').next().unwrap().parse().unwrap();
        let mut req = generation(parts);
        let target = ("Jasmine-Upstream".to_owned(), "e-1 v1".to_owned());
        req.headers.insert(0, target);
        exchange(address, &req.bytes()).unwrap()
    };
    let crashed = engines[1].crashes().len();
    for vm in &vms {
        let response = relay(vm, &[FIRST, BAD]);
        assert!(
            response.header("jasmine-not-relayed").is_some(),
            "{response:?}"
        );
    }
    assert_eq!(arrivals(&engines, BAD).len(), known);
    assert_eq!(engines[1].crashes().len(), crashed);
    let is_relayed = || {
        let response = relay(&vms[0], &[FIRST, "5a"]);
        response.header("jasmine-relayed").is_some()
    };
    wait_until("other prompts are relayed", is_relayed);
}

#[test]
fn ordinary_crashes_refuse_no_unframed_streams() {
    // Guards against refusing what all prompts share after crashes of other causes, where answers end with their connections.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    engines.iter().for_each(EngineStandIn::unframe_answers);
    let vms = start_vms(&store, "unframed");
    let time = CRASH_INTERVAL * (ENGINES as u32 + 2);
    let calls = thread::scope(|scope| {
        let callers = scope.spawn(|| call_all(&vms, &[FIRST], time));
        for engine in &engines {
            thread::sleep(CRASH_INTERVAL);
            engine.crash();
        }
        callers.join().unwrap()
    });
    let last_crash = engines.last().unwrap().crashes()[0].at;
    let later = calls.iter().filter(|(sent, _)| *sent > last_crash);
    let (served, all) = later.fold((0, 0), |(served, all), (_, is_served)| {
        (served + usize::from(*is_served), all + 1)
    });
    assert!(
        all > 0 && served * 10 >= all * 9,
        "{served} of {all} served"
    );
}
