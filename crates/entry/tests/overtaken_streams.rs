//! Streams that another upstream goes on with, and then breaks off: the sound one that was silent has the rest.

mod deployment;

use {
    deployment::{Request, Response, Vm, config, count_runs, wait_until},
    jasmine_platform_stand_in::{
        Behaviour, KvStandIn, Silence, SilentAt, StreamFraming, UpstreamStandIn,
    },
    jasmine_testkit::proxy::{Fault, Link, Proxy},
    serde_json::{Value, json},
    std::{io::Write, net::TcpStream, thread, time::Duration},
};

const EVENTS: u64 = 8;
/// Longer than any time after which another upstream is sought, and than the wait for its answer.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Requests sent one after the other: each leaves its traces in the health of the upstreams.
const REQUESTS: usize = 4;
/// Longer than all that happens beside it.
const LONG_SILENCE: Duration = Duration::from_secs(4);
/// How long an overtaken attempt may work on.
const MAX_OVERLAP: Duration = Duration::from_millis(1_500);

/// A stream that takes longer than its first events may be held back.
const MANY_EVENTS: u64 = 100;
/// A stream that takes longer than any attempt stands by.
const LONG_EVENTS: u64 = 500;
/// Longer than a VM holds log lines back.
const LOG_DELAY: Duration = Duration::from_millis(400);
/// Length of the name of a build that makes events large.
const BUILD_BYTES: usize = 100_000;
/// How long the second upstream is silent: it begins shortly before the third one is asked.
const SECOND_SILENCE: Duration = Duration::from_millis(680);
/// Delay of what the third upstream is sent, and of what it sends, in milliseconds.
const LINK_DELAY_MS: u64 = 70;

/// Sites that are started anew, as an upstream that has failed isn't sought again at once.
const SITES: usize = 4;

/// Deadline of the requests, longer than any stream takes on a busy machine, in milliseconds.
const DEADLINE_MS: u64 = 15_000;

/// A configuration whose routes allow this many attempts.
fn config_with_attempts(attempts: usize) -> Value {
    let mut next = config(1);
    for route in next["routes"].as_array_mut().unwrap() {
        route["attempts"] = json!(attempts);
        route["timeout_ms"] = json!(DEADLINE_MS);
    }
    next
}

/// A silent upstream beside others.
struct Site {
    upstreams: Vec<UpstreamStandIn>,
    vm: Vm,
    attempts: usize,
    _store: KvStandIn,
}

impl Site {
    fn start(
        silence: Duration,
        others: &[Behaviour],
    ) -> Self {
        let silent = Behaviour::Pauses(EVENTS, silence);
        let behaviours = [&[silent], others].concat();
        Self::start_builds(&vec!["v1"; behaviours.len()], &behaviours)
    }

    fn start_builds(
        builds: &[&str],
        behaviours: &[Behaviour],
    ) -> Self {
        let store = KvStandIn::start().unwrap();
        let attempts = behaviours.len();
        store.put("op/config", &config_with_attempts(attempts));
        let start = |(number, behaviour): (usize, &Behaviour)| {
            let upstream = UpstreamStandIn::start(&format!("s-{number}")).unwrap();
            upstream.set_build(builds[number]);
            upstream.set_default(behaviour.clone());
            // Upstreams of the VM's own data centre are tried first.
            let zone = if number == 0 { "one" } else { "two" };
            store.put(&upstream.key(), &upstream.entry("app", zone, "ready"));
            upstream
        };
        let upstreams = behaviours.iter().enumerate().map(start).collect();
        Self {
            upstreams,
            vm: Vm::start(&store),
            attempts,
            _store: store,
        }
    }

    fn send(&self) -> Response {
        let req = Request::new("POST", "/stream/").body(b"prompt");
        let response = self.vm.send_request(&req);
        assert!(count_runs(&self.upstreams, req.id()) <= self.attempts);
        response
    }
}

fn assert_whole(response: &Response) {
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    assert_eq!(
        (response.status, response.is_complete),
        (200, true),
        "{ids:?}"
    );
    assert!(ids.into_iter().eq(1..=EVENTS));
}

#[test]
fn streams_survive_one_that_breaks_off() {
    // Guards against giving a silent stream up for an upstream that sends an event and breaks off.
    let site = Site::start(SILENCE, &[Behaviour::CutAfterMore(1, EVENTS)]);
    for _ in 0..REQUESTS {
        assert_whole(&site.send());
    }
}

#[test]
fn streams_survive_two_that_break_off() {
    // Guards against the same beside two upstreams that break off, as many as there are attempts.
    let cut = Behaviour::CutAfterMore(1, EVENTS);
    let site = Site::start(SILENCE, &[cut.clone(), cut]);
    for _ in 0..REQUESTS {
        assert_whole(&site.send());
    }
}

/// A whole stream that is silent before its first event.
fn late_stream() -> Behaviour {
    let silence = Silence {
        at: SilentAt::Head,
        time: SILENCE,
    };
    Behaviour::SilentStream(EVENTS, StreamFraming::Chunked, silence)
}

#[test]
fn streams_stay_with_their_build() {
    // Guards against a hedge of another build, which nothing can replace if it breaks off, where one of the same build
    // could be had.
    let cut = Behaviour::CutAfterMore(1, EVENTS);
    for _ in 0..SITES {
        let behaviours = [late_stream(), cut.clone(), cut.clone()];
        let site = Site::start_builds(&["v1", "v2", "v1"], &behaviours);
        assert_whole(&site.send());
    }
}

#[test]
fn streams_survive_another_build_that_breaks_off() {
    // Guards against forwarding what a hedge of another build sends before it breaks off at once.
    let cut = Behaviour::CutAfterMore(3, EVENTS);
    let site = Site::start_builds(&["v1", "v2"], &[late_stream(), cut]);
    assert_whole(&site.send());
}

#[test]
fn streams_survive_a_silent_one_that_breaks_off() {
    // Guards against giving up a hedge of another build for a silent upstream that sends an event and breaks off.
    let breaks_off = Behaviour::LateCut(SILENCE, 3);
    let slower = Behaviour::SilentStream(
        EVENTS,
        StreamFraming::Chunked,
        Silence {
            at: SilentAt::Head,
            time: 2 * SILENCE,
        },
    );
    let site = Site::start_builds(&["v1", "v2"], &[breaks_off, slower]);
    assert_whole(&site.send());
}

#[test]
fn streams_go_on_at_another_build() {
    // Guards against holding back for good what a hedge of another build sends.
    let whole = Behaviour::Events(EVENTS);
    let paused = Behaviour::Pauses(EVENTS, SILENCE);
    for other in [whole, paused] {
        let site = Site::start_builds(&["v1", "v2"], &[Behaviour::Hang, other]);
        assert_whole(&site.send());
    }
}

#[test]
fn overtaken_streams_are_closed() {
    // Guards against a silent upstream that works on although another one has gone on for long.
    let silence = Silence {
        at: SilentAt::Event(2),
        time: LONG_SILENCE,
    };
    let silent = Behaviour::SilentStream(LONG_EVENTS, StreamFraming::Chunked, silence);
    let site = Site::start_builds(&["v1", "v1"], &[silent, Behaviour::Events(LONG_EVENTS)]);
    thread::scope(|scope| {
        let caller = scope.spawn(|| site.send());
        wait_until("it goes on", || !site.upstreams[1].arrivals().is_empty());
        thread::sleep(MAX_OVERLAP);
        assert_eq!(site.upstreams[0].cancelled(), 1);
        assert!(!caller.is_finished());
        let response = caller.join().unwrap();
        let ids = response.events().into_iter().map(|event| event.id);
        assert!(ids.eq(1..=LONG_EVENTS));
        assert!(response.is_complete);
    });
}

#[test]
fn streams_survive_one_that_hangs_after_an_event() {
    // Guards against closing an overtaken upstream, which goes on again, while the one that overtook it is silent.
    let silence = Duration::from_millis(1_200);
    let site = Site::start(silence, &[Behaviour::SilentAfter(EVENTS / 2 + 1)]);
    assert_whole(&site.send());
}

#[test]
fn events_held_back_are_not_repeated() {
    // Guards against forwarding events that were held back, and that the caller has since got from a third upstream.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config_with_attempts(3));
    let late = Silence {
        at: SilentAt::Head,
        time: SECOND_SILENCE,
    };
    let behaviours = [
        Behaviour::Hang,
        Behaviour::SilentStream(MANY_EVENTS, StreamFraming::Chunked, late),
        Behaviour::CutAfterMore(10, MANY_EVENTS),
    ];
    let upstreams = ["v1", "v2", "v2"].iter().zip(behaviours).enumerate();
    let upstreams: Vec<UpstreamStandIn> = upstreams
        .map(|(number, (build, behaviour))| {
            let upstream = UpstreamStandIn::start(&format!("s-{number}")).unwrap();
            upstream.set_build(build);
            upstream.set_default(behaviour);
            upstream
        })
        .collect();
    let entry = |number: usize| upstreams[number].entry("app", "one", "ready");
    store.put(&upstreams[0].key(), &entry(0));
    let vm = Vm::start(&store);
    wait_until("it leads", || !vm.log_lines("lead_taken").is_empty());
    let last = entry(2);
    let target = last["address"].as_str().unwrap().parse().unwrap();
    let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
    link.set(Link {
        delay_ms: LINK_DELAY_MS,
        ..Link::default()
    });
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let req = Request::new("POST", "/stream/").body(b"prompt");
            vm.send_request(&req)
        });
        // Each is there when it is to be asked.
        wait_until("the first is asked", || !upstreams[0].arrivals().is_empty());
        store.put(&upstreams[1].key(), &entry(1));
        wait_until("the second is asked", || {
            !upstreams[1].arrivals().is_empty()
        });
        let mut last = last.clone();
        last["address"] = json!(link.address().to_string());
        store.put(&upstreams[2].key(), &last);
        caller.join().unwrap()
    });
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    assert!(ids.iter().copied().eq(1..=MANY_EVENTS), "{ids:?}");
    assert!(response.is_complete);
}

#[test]
fn streams_go_on_at_a_hedge_that_was_withdrawn() {
    // Guards against counting a hedge that has forwarded nothing as the last attempt, so that nobody is asked when the
    // upstream that it stood in for breaks off later.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config_with_attempts(2));
    let slow = Silence {
        at: SilentAt::Event(5),
        time: Duration::from_millis(700),
    };
    let late = Silence {
        at: SilentAt::Head,
        time: Duration::from_millis(600),
    };
    let stream = |silence| Behaviour::SilentStream(LONG_EVENTS, StreamFraming::Chunked, silence);
    let start = |id: &str, behaviour| {
        let upstream = UpstreamStandIn::start(id).unwrap();
        upstream.set_default(behaviour);
        upstream
    };
    let upstreams = [start("s-0", stream(slow)), start("s-1", stream(late))];
    let mut first = upstreams[0].entry("app", "one", "ready");
    let target = first["address"].as_str().unwrap().parse().unwrap();
    let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
    first["address"] = json!(link.address().to_string());
    store.put(&upstreams[0].key(), &first);
    // Upstreams of the VM's own data centre are tried first.
    store.put(
        &upstreams[1].key(),
        &upstreams[1].entry("app", "two", "ready"),
    );
    let vm = Vm::start(&store);
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let req = Request::new("POST", "/stream/").body(b"prompt");
            vm.send_request(&req)
        });
        wait_until("the hedge is withdrawn", || {
            !vm.log_lines("hedge_withdrawn").is_empty()
        });
        link.set_mode(Fault::Reset);
        caller.join().unwrap()
    });
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    assert!(
        ids.iter().copied().eq(1..=LONG_EVENTS),
        "{} events",
        ids.len()
    );
    assert!(response.is_complete);
}

#[test]
fn events_held_back_are_dropped_while_links_are_tested() {
    // Guards against forwarding what was held back because the test of the links, which a break begins, takes longer
    // than it is held back.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config_with_attempts(2));
    let late = |ms| {
        let silence = Silence {
            at: SilentAt::Head,
            time: Duration::from_millis(ms),
        };
        Behaviour::SilentStream(MANY_EVENTS, StreamFraming::Chunked, silence)
    };
    let behaviours = [late(2_500), late(1_000)];
    let builds = ["v1", "v2"].into_iter().zip(["one", "two"]);
    let upstreams = builds.zip(behaviours);
    let any_address = "127.0.0.1:0".parse().unwrap();
    let (upstreams, links): (Vec<UpstreamStandIn>, Vec<Proxy>) = upstreams
        .map(|((build, zone), behaviour)| {
            let upstream = UpstreamStandIn::start(&format!("s-{zone}")).unwrap();
            upstream.set_build(build);
            upstream.set_default(behaviour);
            // Upstreams of the VM's own data centre are tried first.
            let mut entry = upstream.entry("app", zone, "ready");
            let target = entry["address"].as_str().unwrap().parse().unwrap();
            let link = Proxy::start(any_address, target).unwrap();
            entry["address"] = json!(link.address().to_string());
            store.put(&upstream.key(), &entry);
            (upstream, link)
        })
        .unzip();
    let vm = Vm::start(&store);
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let req = Request::new("POST", "/stream/").body(b"prompt");
            vm.send_request(&req)
        });
        wait_until("the second is asked", || {
            !upstreams[1].arrivals().is_empty()
        });
        // Probes get their answers, later than events are held back.
        links[0].set(Link {
            delay_ms: 150,
            ..Link::default()
        });
        thread::sleep(Duration::from_millis(1_080));
        links[1].set_mode(Fault::Reset);
        caller.join().unwrap()
    });
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    assert!(
        ids.iter().copied().eq(1..=MANY_EVENTS),
        "{} events",
        ids.len()
    );
    assert!(response.is_complete);
}

#[test]
fn streams_go_on_at_an_overtaken_hedge() {
    // Guards against closing an overtaken hedge, which is sound, while the upstream that went on has fallen silent again.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config_with_attempts(2));
    let slow = Silence {
        at: SilentAt::Event(5),
        time: Duration::from_millis(700),
    };
    let late = Silence {
        at: SilentAt::Head,
        time: Duration::from_millis(600),
    };
    let stream = |silence| Behaviour::SilentStream(LONG_EVENTS, StreamFraming::Chunked, silence);
    let start = |id: &str, behaviour| {
        let upstream = UpstreamStandIn::start(id).unwrap();
        upstream.set_default(behaviour);
        upstream
    };
    let upstreams = [start("s-0", stream(slow)), start("s-1", stream(late))];
    let mut first = upstreams[0].entry("app", "one", "ready");
    let target = first["address"].as_str().unwrap().parse().unwrap();
    let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
    first["address"] = json!(link.address().to_string());
    store.put(&upstreams[0].key(), &first);
    // Upstreams of the VM's own data centre are tried first.
    store.put(
        &upstreams[1].key(),
        &upstreams[1].entry("app", "two", "ready"),
    );
    let vm = Vm::start(&store);
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| {
            let req = Request::new("POST", "/stream/").body(b"prompt");
            vm.send_request(&req)
        });
        wait_until("the first is asked", || !upstreams[0].arrivals().is_empty());
        // It has gone on by then, and the hedge stands by.
        thread::sleep(Duration::from_secs(1));
        link.set_mode(Fault::Cut);
        caller.join().unwrap()
    });
    let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
    assert!(
        ids.iter().copied().eq(1..=LONG_EVENTS),
        "{} events",
        ids.len()
    );
    assert!(response.is_complete);
}

#[test]
fn overtaken_attempts_end_beside_slow_callers() {
    // Guards against a slot and a silence that are reported only once a slow caller has taken what overtook them.
    let store = KvStandIn::start().unwrap();
    store.put("op/config", &config_with_attempts(2));
    // Each event names its build: the caller's buffers are full within the time that an overtaken attempt stands by.
    let build = "v".repeat(BUILD_BYTES);
    let start = |id: &str, zone: &str, behaviour| {
        let upstream = UpstreamStandIn::start(id).unwrap();
        upstream.set_build(&build);
        upstream.set_default(behaviour);
        // Upstreams of the VM's own data centre are tried first.
        store.put(&upstream.key(), &upstream.entry("app", zone, "ready"));
        upstream
    };
    let silent = start("s-0", "one", Behaviour::Hang);
    let _other = start("s-1", "two", Behaviour::Events(LONG_EVENTS));
    let vm = Vm::start(&store);
    let mut slow = TcpStream::connect(vm.callers).unwrap();
    let req = Request::new("POST", "/stream/").body(b"prompt");
    slow.write_all(&req.bytes()).unwrap();
    wait_until("the overtaken one is closed", || silent.cancelled() == 1);
    thread::sleep(LOG_DELAY);
    assert_eq!(vm.log_lines("attempt_failed").len(), 1);
}
