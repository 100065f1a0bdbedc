//! Streams that go on at a second engine while the first one is silent.

mod deployment;

use {
    deployment::{Request, Vm, config, exchange, wait_until},
    jasmine_platform_stand_in::{
        Babble, BabbleAt, EngineCall, EngineStandIn, KvStandIn, Pace, Silence, SilentAt,
    },
    jasmine_testkit::proxy::{Fault, Link, Proxy},
    serde_json::json,
    std::{thread, time::Duration},
};

/// How long an engine may still work on a request that goes on at another one.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
/// How late the end of its work may be seen.
const MARGIN: Duration = Duration::from_millis(100);
/// Delay of what the second of three engines is sent, and of what it sends, in milliseconds.
const LINK_DELAY_MS: u64 = 350;
/// Longer than any time after which another engine is sought.
const SILENCE: Duration = Duration::from_secs(3);

#[test]
fn a_stream_that_goes_on_elsewhere_is_worked_on_once() {
    // Guards against a silent engine that works on for longer than 400 ms beside the one at which its stream goes on.
    let store = KvStandIn::start().unwrap();
    let mut next = config(1);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["name"] == "model" {
            route["attempts"] = json!(2);
            route["resumable"] = json!(true);
        }
    }
    store.put("op/config", &next);
    let engines = ["e-1", "e-2"].map(|id| EngineStandIn::start(id).unwrap());
    for engine in &engines {
        store.put(&engine.key(), &engine.entry("llm", "one"));
    }
    let vm = Vm::start(&store);
    let request = || {
        Request::new("POST", "/model/")
            .with("X-Model", "base/a1")
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "c1:50,c2:50")
            .body(b"prompt")
    };
    assert_eq!(vm.send_request(&request()).status, 200);
    for engine in &engines {
        engine.set_silence(Some(Silence {
            at: SilentAt::Event(2),
            time: SILENCE,
        }));
    }
    let req = request();
    let arrived = || {
        let arrivals = engines.iter().flat_map(EngineStandIn::arrivals);
        arrivals.filter(|seen| seen.request_id == req.id()).count()
    };
    let cancelled = || -> u32 { engines.iter().map(EngineStandIn::cancelled).sum() };
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| vm.send_request(&req));
        wait_until("it goes on", || arrived() == 2);
        thread::sleep(MAX_OVERLAP + MARGIN);
        assert_eq!(cancelled(), 1, "engines that have stopped");
        caller.join().unwrap()
    });
    assert_eq!((response.status, response.is_complete), (200, true));
}

#[test]
fn a_call_that_goes_on_elsewhere_is_worked_on_once() {
    // Guards against the same for a generation that isn't streamed to its caller.
    let store = KvStandIn::start().unwrap();
    let mut next = config(1);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["name"] == "model" {
            route["kind"] = json!("idempotent");
            route["attempts"] = json!(2);
        }
    }
    store.put("op/config", &next);
    let engines = ["e-1", "e-2"].map(|id| EngineStandIn::start(id).unwrap());
    for engine in &engines {
        store.put(&engine.key(), &engine.entry("llm", "one"));
    }
    let vm = Vm::start(&store);
    let request = || {
        Request::new("POST", "/model/")
            .with("X-Model", "base/a1")
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "c1:50,c2:50")
            .body(b"prompt")
    };
    assert_eq!(vm.send_request(&request()).status, 200);
    for engine in &engines {
        engine.set_silence(Some(Silence {
            at: SilentAt::Event(2),
            time: SILENCE,
        }));
    }
    let req = request();
    let arrived = || {
        let arrivals = engines.iter().flat_map(EngineStandIn::arrivals);
        arrivals.filter(|seen| seen.request_id == req.id()).count()
    };
    let cancelled = || -> u32 { engines.iter().map(EngineStandIn::cancelled).sum() };
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| vm.send_request(&req));
        wait_until("it goes on", || arrived() == 2);
        thread::sleep(MAX_OVERLAP + MARGIN);
        assert_eq!(cancelled(), 1, "engines that have stopped");
        caller.join().unwrap()
    });
    assert_eq!((response.status, response.is_complete), (200, true));
}

#[test]
fn two_that_are_left_of_three_work_side_by_side_for_a_short_time() {
    // Guards against two engines that have begun and work on side by side once a third one has broken off.
    let store = KvStandIn::start().unwrap();
    let mut next = config(1);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["name"] == "model" {
            route["attempts"] = json!(3);
            route["resumable"] = json!(true);
        }
    }
    store.put("op/config", &next);
    let engines = ["e-1", "e-2", "e-3"].map(|id| EngineStandIn::start(id).unwrap());
    for number in [0, 2] {
        engines[number].set_silence(Some(Silence {
            at: SilentAt::Event(2),
            time: SILENCE,
        }));
    }
    // The second one begins last, sends no event and breaks off.
    engines[1].set_babble(
        EngineCall::Request,
        Some(Babble {
            at: BabbleAt::Event(0),
            pace: Pace::SLOW,
        }),
    );
    let mut second = engines[1].entry("llm", "one");
    let target = second["address"].as_str().unwrap().parse().unwrap();
    let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
    second["address"] = json!(link.address().to_string());
    store.put(&engines[0].key(), &engines[0].entry("llm", "one"));
    let vm = Vm::start(&store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    let req = Request::new("POST", "/model/")
        .with("X-Model", "base")
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "c1:50,c2:50")
        .body(b"prompt");
    let arrived = |number: usize| {
        let arrivals = engines[number].arrivals();
        arrivals.iter().any(|seen| seen.request_id == req.id())
    };
    let cancelled = || -> u32 {
        [0, 2]
            .iter()
            .map(|&at: &usize| engines[at].cancelled())
            .sum()
    };
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| vm.send_request(&req));
        wait_until("the first is asked", || arrived(0));
        link.set(Link {
            delay_ms: LINK_DELAY_MS,
            ..Link::default()
        });
        store.put(&engines[1].key(), &second);
        wait_until("the second is asked", || arrived(1));
        store.put(&engines[2].key(), &engines[2].entry("llm", "one"));
        wait_until("the third is asked", || arrived(2));
        thread::sleep(Duration::from_millis(250));
        link.set_mode(Fault::Reset);
        thread::sleep(MAX_OVERLAP + MARGIN);
        assert_eq!(cancelled(), 1, "engines that have stopped");
        caller.join().unwrap()
    });
    assert_eq!((response.status, response.is_complete), (200, true));
}

#[test]
fn a_hedge_that_answers_is_counted() {
    // Guards against hedges of generations that are counted as sent and as nothing else.
    let store = KvStandIn::start().unwrap();
    let mut next = config(1);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["name"] == "model" {
            route["attempts"] = json!(2);
            route["resumable"] = json!(true);
        }
    }
    store.put("op/config", &next);
    let engines = ["e-1", "e-2"].map(|id| EngineStandIn::start(id).unwrap());
    engines[0].set_silence(Some(Silence {
        at: SilentAt::Event(2),
        time: SILENCE,
    }));
    store.put(&engines[0].key(), &engines[0].entry("llm", "one"));
    let vm = Vm::start(&store);
    let req = Request::new("POST", "/model/")
        .with("X-Model", "base")
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "c1:50,c2:50")
        .body(b"prompt");
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| vm.send_request(&req));
        wait_until("the first is asked", || !engines[0].arrivals().is_empty());
        store.put(&engines[1].key(), &engines[1].entry("llm", "one"));
        caller.join().unwrap()
    });
    assert_eq!((response.status, response.is_complete), (200, true));
    assert_eq!(engines[1].begins().len(), 1);
    let started = vm.log_lines("started");
    let (_, rest) = started[0].split_once(" metrics=").unwrap();
    let address = rest.split_whitespace().next().unwrap().parse().unwrap();
    let metrics = exchange(address, b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n").unwrap();
    let text = metrics.text();
    let counts: Vec<&str> = text
        .lines()
        .filter(|line| line.starts_with("jasmine_hedges"))
        .collect();
    let is_answered = |line: &&str| line.contains("answered") && line.ends_with(" 1");
    assert!(counts.iter().any(is_answered), "{counts:?}");
}
