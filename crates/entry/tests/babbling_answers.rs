//! Engines that send bytes that are no answer: no evidence against the prompts that they are sent.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::{Babble, BabbleAt, EngineCall, EngineStandIn, KvStandIn, Pace},
    std::{
        sync::atomic::{AtomicU32, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const ENGINES: usize = 6;
/// How long engines babble.
const TIME: Duration = Duration::from_secs(3);
const CALL_INTERVAL: Duration = Duration::from_millis(40);
const CALLERS: usize = 4;

static NEXT_PART: AtomicU32 = AtomicU32::new(0x1_0000);

fn start_engines(store: &KvStandIn) -> Vec<EngineStandIn> {
    let start = |number| {
        let engine = EngineStandIn::start(&format!("e-{number}")).unwrap();
        store.put(&engine.key(), &engine.entry("llm", "one"));
        engine
    };
    (0..ENGINES).map(start).collect()
}

fn set_all(
    engines: &[EngineStandIn],
    babble: Option<Babble>,
) {
    for engine in engines {
        engine.set_babble(EngineCall::Request, babble);
    }
}

/// A generation whose prompt has two parts that all share, and one of its own.
fn generation() -> Request {
    let own = NEXT_PART.fetch_add(1, Ordering::Relaxed);
    Request::new("POST", "/model/")
        .with("X-Model", "base")
        .with("X-Token-Counts", "150,10")
        .with("X-Prompt-Prefix", &format!("f1:50,5a:50,{own:x}:50"))
        .with("X-Deadline-Ms", "1500")
        .body(b"prompt")
}

/// Sends prompts by several callers for a while; returns how many there were, and how many as quarantined.
fn call_all(vm: &Vm) -> (usize, usize) {
    let until = Instant::now() + TIME;
    let call = || {
        let mut counts = (0, 0);
        while Instant::now() < until {
            let response = vm.send_request(&generation());
            counts.0 += 1;
            counts.1 += usize::from(response.text().contains("prompt_quarantined"));
            thread::sleep(CALL_INTERVAL);
        }
        counts
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(call)).collect();
        let counts = callers.into_iter().map(|caller| caller.join().unwrap());
        counts.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
    })
}

/// Prompts that engines answer like this aren't refused, neither then nor later.
fn assert_no_quarantine(
    at: BabbleAt,
    pace: Pace,
) {
    let (store, _upstreams) = start_platform(&["s-1"]);
    let engines = start_engines(&store);
    let vm = Vm::start(&store);
    wait_until("prompts are served", || {
        vm.send_request(&generation()).status == 200
    });
    set_all(&engines, Some(Babble { at, pace }));
    let (sent, refused) = call_all(&vm);
    set_all(&engines, None);
    let (later, refused_later) = call_all(&vm);
    let verdicts = vm.log_lines("prompt_quarantined").join("\n");
    assert_eq!(
        (refused, refused_later),
        (0, 0),
        "of {sent} and {later}\n{verdicts}"
    );
    assert!(verdicts.is_empty(), "{verdicts}");
    wait_until("prompts are served", || {
        vm.send_request(&generation()).status == 200
    });
}

#[test]
fn heads_without_end_are_no_crash() {
    // Guards against taking a head that is too long for a crash under the prompt.
    assert_no_quarantine(BabbleAt::HeaderLines, Pace::FULL);
}

#[test]
fn other_responses_are_no_crash() {
    // Guards against taking responses to other requests for a crash under the prompt.
    assert_no_quarantine(BabbleAt::OtherResponses, Pace::FULL);
}

#[test]
fn bodies_without_end_are_no_crash() {
    // Guards against taking a body that is too long for a crash under the prompt.
    assert_no_quarantine(BabbleAt::LongBody, Pace::FULL);
}

#[test]
fn failures_without_end_are_no_crash() {
    // Guards against taking a failure whose body is too long for a crash under the prompt.
    assert_no_quarantine(BabbleAt::FailureBody, Pace::FULL);
}

#[test]
fn malformed_chunks_are_no_crash() {
    // Guards against taking an invalid coding for a crash under the prompt.
    assert_no_quarantine(BabbleAt::ChunkSize(1), Pace::FULL);
}

#[test]
fn trailers_without_end_are_no_crash() {
    // Guards against taking trailers that are too long for a crash under the prompt.
    assert_no_quarantine(BabbleAt::Trailers(1), Pace::FULL);
}

#[test]
fn events_without_end_are_no_crash() {
    // Guards against taking an event that is too long for a crash under the prompt.
    assert_no_quarantine(BabbleAt::Event(1), Pace::FULL);
}

#[test]
fn slow_events_without_end_are_no_crash() {
    // Guards against taking the deadline of an event that never ends for a crash under the prompt.
    assert_no_quarantine(BabbleAt::Event(1), Pace::SLOW);
}
