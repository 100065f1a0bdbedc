//! VMs that die, and what engines are told meanwhile.

mod deployment;

use {
    deployment::{Request, Vm, platform, until},
    jasmine_platform_stand_in::EngineStandIn,
    nix::sys::signal::Signal,
    std::{collections::BTreeSet, thread, time::Duration},
};

fn generation(adapter: &str) -> Request {
    Request::new("POST", "/model/")
        .with("X-Model", &format!("base/{adapter}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "a1:50,b2:50")
        .body(b"prompt")
}

#[test]
fn adapters_are_loaded_and_make_way() {
    // Four adapters are asked for in turn on an engine that holds two. It is never ordered to hold a third: it
    // would crash with everything that runs on it.
    let (store, _) = platform(&[]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let vm = Vm::start(&store);
    for adapter in ["a1", "a2", "a3", "a4", "a1"] {
        let answer = vm.ask(&generation(adapter));
        assert_eq!(answer.status, 200, "{adapter}: {answer:?}");
    }
    assert_eq!(engine.ran(), ["a1", "a2", "a3", "a4", "a1"]);
    assert_eq!(engine.overfilled(), 0);
}

#[test]
fn lost_answers_to_orders_overfill_nothing() {
    let (store, _) = platform(&[]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let vm = Vm::start(&store);
    engine.lose_answers(2);
    for adapter in ["a1", "a2", "a3", "a4"] {
        let answer = vm.ask(&generation(adapter));
        assert_eq!(answer.status, 200, "{adapter}: {answer:?}");
    }
    assert_eq!(engine.overfilled(), 0);
}

#[test]
fn a_killed_leader_is_replaced() {
    // The VM that schedules is killed. The others go on by themselves with what is loaded, one of them is elected
    // under a higher fencing token, and adapters are loaded again.
    let (store, _upstreams) = platform(&["s-1"]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let mut leader = Vm::start(&store);
    until("one leads", || !leader.logged("lead_taken").is_empty());
    let others = [Vm::start(&store), Vm::start(&store)];
    for other in &others {
        until("it follows", || !other.logged("leader_followed").is_empty());
        assert_eq!(other.ask(&generation("a1")).status, 200);
    }
    leader.signal(Signal::SIGKILL);
    assert!(!leader.ended().success());
    for other in &others {
        assert_eq!(other.ask(&Request::new("GET", "/read/")).status, 200);
    }
    let took_lead = || {
        others
            .iter()
            .any(|other| !other.logged("lead_taken").is_empty())
    };
    until("another one leads", took_lead);
    for other in &others {
        assert_eq!(other.ask(&generation("a2")).status, 200);
    }
    let orders = engine.orders();
    let fences: Vec<u64> = orders
        .iter()
        .map(|order| order["fence"].as_u64().unwrap())
        .collect();
    assert!(fences.is_sorted(), "{fences:?}");
    assert_eq!(engine.overfilled(), 0);
}

#[test]
fn a_frozen_leader_gives_no_more_orders() {
    // The VM that schedules is frozen for longer than its lease and thaws. Another one leads by then; if both gave
    // orders, each would count the engine's places without the other.
    let (store, _upstreams) = platform(&["s-1"]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let leader = Vm::start(&store);
    until("one leads", || !leader.logged("lead_taken").is_empty());
    let other = Vm::start(&store);
    until("it follows", || !other.logged("leader_followed").is_empty());
    leader.signal(Signal::SIGSTOP);
    until("the other leads", || !other.logged("lead_taken").is_empty());
    assert_eq!(other.ask(&generation("a1")).status, 200);
    leader.signal(Signal::SIGCONT);
    until("the first one knows", || {
        !leader.logged("lead_lost").is_empty()
    });
    until("it follows", || {
        !leader.logged("leader_followed").is_empty()
    });
    thread::sleep(Duration::from_millis(100));
    assert_eq!(leader.ask(&generation("a2")).status, 200);
    let holders: Vec<String> = engine
        .orders()
        .iter()
        .map(|order| order["fence"].to_string())
        .collect();
    assert!(
        holders.windows(2).all(|two| two[0] <= two[1]),
        "{holders:?}"
    );
}

#[test]
fn a_thawed_leader_is_not_followed() {
    // A VM that has just taken the lead still has a question open to the frozen one that led before. The answer
    // comes when that one thaws. If it counted, the new leader would follow the old one, the old one the new
    // one, and nobody would lead, as the key in the store stays with the new one.
    let (store, _upstreams) = platform(&["s-1"]);
    let mut leader = Vm::start(&store);
    until("one leads", || !leader.logged("lead_taken").is_empty());
    let mut other = Vm::start(&store);
    until("it follows", || !other.logged("leader_followed").is_empty());
    // The question is open for two thirds of the time.
    for _ in 0..3 {
        let led = other.logged("lead_taken").len();
        let followed = leader.logged("leader_followed").len();
        leader.signal(Signal::SIGSTOP);
        until("the other leads", || other.logged("lead_taken").len() > led);
        leader.signal(Signal::SIGCONT);
        until("the thawed one follows", || {
            leader.logged("leader_followed").len() > followed
        });
        assert_eq!(other.logged("lead_taken").len(), led + 1);
        // Nor does it take an old token again.
        let taken = leader.logged("lead_taken");
        let tokens: BTreeSet<_> = taken.iter().map(|line| fence_of(line)).collect();
        assert_eq!(tokens.len(), taken.len(), "{taken:?}");
        std::mem::swap(&mut leader, &mut other);
    }
}

fn fence_of(line: &str) -> Option<&str> {
    line.split(' ').find(|word| word.starts_with("fence="))
}

#[test]
fn a_restarted_leader_leads_at_once() {
    // All VMs are killed and start again. The store still has the key of the one that led, on a lease that nobody
    // renews; if all waited for it to lapse, adapters would be loaded again two seconds later than need be. The
    // VM that wrote it knows that its earlier run is over.
    let (store, _upstreams) = platform(&["s-1"]);
    let first = Vm::start(&store);
    until("it leads", || !first.logged("lead_taken").is_empty());
    let name = first.name.clone();
    first.signal(Signal::SIGKILL);
    drop(first);
    let began = std::time::Instant::now();
    let again = Vm::start_as(&store, &name);
    until("it leads again", || !again.logged("lead_taken").is_empty());
    assert!(
        began.elapsed() < Duration::from_millis(1_200),
        "{:?}",
        began.elapsed()
    );
}
