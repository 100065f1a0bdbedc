//! Crashed, suspended and restarted leaders, and the orders that engines receive.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
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
fn adapters_are_loaded_and_evicted() {
    // Guards against ordering a third adapter on an engine with two adapter slots, which would crash it.
    let (store, _) = start_platform(&[]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let vm = Vm::start(&store);
    for adapter in ["a1", "a2", "a3", "a4", "a1"] {
        let response = vm.send_request(&generation(adapter));
        assert_eq!(response.status, 200, "{adapter}: {response:?}");
    }
    assert_eq!(engine.executed(), ["a1", "a2", "a3", "a4", "a1"]);
    assert_eq!(engine.over_capacity_orders(), 0);
}

#[test]
fn lost_order_answers_do_not_overfill_engines() {
    // Guards against ordering too many adapters when the engine's answers to earlier orders are lost.
    let (store, _) = start_platform(&[]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let vm = Vm::start(&store);
    engine.lose_responses(2);
    for adapter in ["a1", "a2", "a3", "a4"] {
        let response = vm.send_request(&generation(adapter));
        assert_eq!(response.status, 200, "{adapter}: {response:?}");
    }
    assert_eq!(engine.over_capacity_orders(), 0);
}

#[test]
fn a_killed_leader_is_replaced() {
    // Guards against failed requests, missing loads and lower fencing tokens after the leader is killed.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let mut leader = Vm::start(&store);
    wait_until("it leads", || !leader.log_lines("lead_taken").is_empty());
    let others = [Vm::start(&store), Vm::start(&store)];
    for other in &others {
        wait_until("it follows", || {
            !other.log_lines("leader_followed").is_empty()
        });
        assert_eq!(other.send_request(&generation("a1")).status, 200);
    }
    leader.signal(Signal::SIGKILL);
    assert!(!leader.wait_for_exit().success());
    for other in &others {
        assert_eq!(
            other.send_request(&Request::new("GET", "/read/")).status,
            200
        );
    }
    let has_new_leader = || {
        others
            .iter()
            .any(|other| !other.log_lines("lead_taken").is_empty())
    };
    wait_until("another VM leads", has_new_leader);
    for other in &others {
        assert_eq!(other.send_request(&generation("a2")).status, 200);
    }
    let orders = engine.orders();
    let fences: Vec<u64> = orders
        .iter()
        .map(|order| order["fence"].as_u64().unwrap())
        .collect();
    assert!(fences.is_sorted(), "{fences:?}");
    assert_eq!(engine.over_capacity_orders(), 0);
}

#[test]
fn a_suspended_leader_gives_no_more_orders() {
    // Guards against orders from two leaders after the first is suspended for longer than its lease and resumes.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let leader = Vm::start(&store);
    wait_until("it leads", || !leader.log_lines("lead_taken").is_empty());
    let other = Vm::start(&store);
    wait_until("it follows", || {
        !other.log_lines("leader_followed").is_empty()
    });
    leader.signal(Signal::SIGSTOP);
    wait_until("the other leads", || {
        !other.log_lines("lead_taken").is_empty()
    });
    assert_eq!(other.send_request(&generation("a1")).status, 200);
    leader.signal(Signal::SIGCONT);
    wait_until("the first one gives up leadership", || {
        !leader.log_lines("lead_lost").is_empty()
    });
    wait_until("it follows", || {
        !leader.log_lines("leader_followed").is_empty()
    });
    thread::sleep(Duration::from_millis(100));
    assert_eq!(leader.send_request(&generation("a2")).status, 200);
    let fences: Vec<String> = engine
        .orders()
        .iter()
        .map(|order| order["fence"].to_string())
        .collect();
    assert!(
        fences.windows(2).all(|pair| pair[0] <= pair[1]),
        "{fences:?}"
    );
}

#[test]
fn a_resumed_leader_is_not_followed() {
    // Guards against a new leader following its suspended predecessor because of a late answer: each would follow the
    // other, and no VM would lead.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let mut leader = Vm::start(&store);
    wait_until("it leads", || !leader.log_lines("lead_taken").is_empty());
    let mut other = Vm::start(&store);
    wait_until("it follows", || {
        !other.log_lines("leader_followed").is_empty()
    });
    // Repeated, as a call to the leader is not always pending when it is suspended.
    for _ in 0..3 {
        let lead_count = other.log_lines("lead_taken").len();
        let follow_count = leader.log_lines("leader_followed").len();
        leader.signal(Signal::SIGSTOP);
        wait_until("the other leads", || {
            other.log_lines("lead_taken").len() > lead_count
        });
        leader.signal(Signal::SIGCONT);
        wait_until("the resumed one follows", || {
            leader.log_lines("leader_followed").len() > follow_count
        });
        assert_eq!(other.log_lines("lead_taken").len(), lead_count + 1);
        // No fencing token is used twice.
        let taken = leader.log_lines("lead_taken");
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
    // Guards against waiting for the leader lease to expire when the VM that holds it has restarted.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let first = Vm::start(&store);
    wait_until("it leads", || !first.log_lines("lead_taken").is_empty());
    let name = first.name.clone();
    first.signal(Signal::SIGKILL);
    drop(first);
    let began = std::time::Instant::now();
    let again = Vm::start_as(&store, &name);
    wait_until("it leads again", || {
        !again.log_lines("lead_taken").is_empty()
    });
    assert!(
        began.elapsed() < Duration::from_millis(1_200),
        "{:?}",
        began.elapsed()
    );
}
