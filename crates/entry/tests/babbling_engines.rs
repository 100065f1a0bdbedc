//! Engines and health probes whose bytes never become an answer.

mod deployment;

use {
    deployment::{Request, Vm, call_through, start_platform, wait_until},
    jasmine_platform_stand_in::{Babble, BabbleAt, Behaviour, EngineCall, EngineStandIn, Pace},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// How long callers may wait for an answer beside babbling engines or probes.
const MAX_LATENCY: Duration = Duration::from_secs(1);
/// How long servers babble in each place.
const BABBLE_TIME: Duration = Duration::from_secs(2);
const PLACES: [BabbleAt; 4] = [
    BabbleAt::InterimResponses,
    BabbleAt::HeaderLine,
    BabbleAt::LongBody,
    BabbleAt::BodyUntilClose,
];

/// Asserts that calls are answered for a while.
fn assert_served(
    vm: &Vm,
    what: &str,
) {
    let until = Instant::now() + BABBLE_TIME;
    while Instant::now() < until {
        let sent_at = Instant::now();
        let response = vm.send_request(&call_through(vm));
        assert_eq!(response.status, 200, "{what}: {response:?}");
        assert!(sent_at.elapsed() < MAX_LATENCY, "{what}");
    }
}

#[test]
fn callers_are_served_beside_babbling_engines() {
    // Guards against reports and answers to orders without end that hold up the callers of the leader.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engine = EngineStandIn::start("e-1").unwrap();
    store.put(&engine.key(), &engine.entry("llm", "one"));
    let vm = Vm::start(&store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    for call in [EngineCall::Report, EngineCall::Order] {
        for at in PLACES {
            let pace = Pace::FULL;
            engine.set_babble(call, Some(Babble { at, pace }));
            assert_served(&vm, &format!("{call:?} {at:?}"));
        }
        engine.set_babble(call, None);
    }
    // The engine is used again once it answers.
    wait_until("a generation is answered", || {
        let request = Request::new("POST", "/model/")
            .with("X-Model", "base/a1")
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "c1:50,c2:50")
            .body(b"prompt");
        vm.send_request(&request).status == 200
    });
}

#[test]
fn answers_are_given_beside_babbling_probes() {
    // Guards against answers to health probes without end that hold up the callers of a VM.
    for at in PLACES {
        let (store, upstreams) = start_platform(&["s-1", "s-2"]);
        let vm = Vm::start(&store);
        let pace = Pace::FULL;
        for upstream in &upstreams {
            // Upstreams are probed while all of them are silent.
            upstream.set_default(Behaviour::Hang);
            upstream.set_health_babble(Some(Babble { at, pace }));
        }
        let hung = Request::new("GET", "/read/").with("X-Deadline-Ms", "2000");
        thread::scope(|scope| {
            let caller = scope.spawn(|| vm.send_request(&hung));
            while !caller.is_finished() {
                let sent_at = Instant::now();
                let response = vm.send_request(&Request::new("GET", "/unknown/"));
                assert_eq!(response.status, 404, "{at:?}");
                assert!(sent_at.elapsed() < MAX_LATENCY, "{at:?}");
            }
            assert_eq!(caller.join().unwrap().status, 504, "{at:?}");
        });
    }
}
