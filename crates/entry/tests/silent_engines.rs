//! Engines that fall silent in a generation and go on, and upstreams that do in a body or inside an event.

mod deployment;

use {
    deployment::{Request, Response, TIMEOUT, Vm, config, count_runs, start_platform, wait_until},
    jasmine_platform_stand_in::{
        Behaviour, EngineStandIn, KvStandIn, Silence, SilentAt,
        StreamFraming::{Chunked, Length, UntilClose},
        UpstreamStandIn,
    },
    serde_json::json,
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than any time after which another upstream is sought, well within the deadline of the requests.
const SILENCE: Duration = Duration::from_secs(2);
/// Silence during which callers leave, nearly as long as the deadline.
const LONG_SILENCE: Duration = Duration::from_millis(4_500);
/// When callers leave after the begin of a silence: at once, and when another server has been sought.
const LEAVE_AFTER: [Duration; 2] = [Duration::ZERO, Duration::from_millis(1_500)];
/// How long a server may go on with the work of a caller that has left.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(1);
const EVENTS: u64 = 8;
/// The first event after a silence in the middle of a stream.
const MIDDLE: u64 = EVENTS / 2 + 1;
const BODY: &[u8] = b"first half, second half";
/// The answer of an engine.
const GENERATED: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
/// Where an engine falls silent: in its queue, before its first event, between its events, inside one.
const ENGINE_SILENCES: [SilentAt; 4] = [
    SilentAt::Head,
    SilentAt::Event(1),
    SilentAt::Event(2),
    SilentAt::InsideEvent(2),
];

/// A VM before engines of a route `model` with this many attempts, resumable if there are several.
struct Site {
    engines: Vec<EngineStandIn>,
    vm: Vm,
    _store: KvStandIn,
}

impl Site {
    fn start(
        engines: &[&str],
        attempts: u32,
    ) -> Self {
        let store = KvStandIn::start().unwrap();
        let mut next = config(1);
        let routes = next["routes"].as_array_mut().unwrap();
        for route in routes.iter_mut().filter(|route| route["name"] == "model") {
            route["attempts"] = json!(attempts);
            route["resumable"] = json!(attempts > 1);
        }
        store.put("op/config", &next);
        let start_engine = |id: &&str| {
            let engine = EngineStandIn::start(id).unwrap();
            store.put(&engine.key(), &engine.entry("llm", "one"));
            engine
        };
        let engines = engines.iter().map(start_engine).collect();
        let vm = Vm::start(&store);
        // Its adapter is loaded before any silence.
        let site = Self {
            engines,
            vm,
            _store: store,
        };
        site.assert_generated("without silence");
        site
    }

    fn set_silence(
        &self,
        at: SilentAt,
        time: Duration,
    ) {
        for engine in &self.engines {
            engine.set_silence(Some(Silence { at, time }));
        }
    }

    fn assert_generated(
        &self,
        what: &str,
    ) {
        let response = self.vm.send_request(&generation());
        assert_whole(&response, GENERATED.as_bytes(), what);
    }

    /// The number of generations that have arrived.
    fn arrivals(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| engine.arrivals().len())
            .sum()
    }

    fn cancelled(&self) -> u32 {
        self.engines.iter().map(EngineStandIn::cancelled).sum()
    }
}

fn generation() -> Request {
    Request::new("POST", "/model/")
        .with("X-Model", "base/a1")
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "c1:50,c2:50")
        .body(b"prompt")
}

fn assert_whole(
    response: &Response,
    body: &[u8],
    what: &str,
) {
    assert_eq!(response.status, 200, "{what}: {response:?}");
    assert!(response.is_complete, "{what}: {response:?}");
    assert_eq!(response.body, body, "{what}: {}", response.text());
}

/// Sends a request whose caller leaves in a silence, which begins once it runs and `received` of its answer has arrived.
fn leave<F>(
    vm: &Vm,
    request: &Request,
    received: &str,
    after: Duration,
    runs: F,
) -> Instant
where
    F: FnMut() -> bool,
{
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller.set_read_timeout(Some(TIMEOUT)).unwrap();
    caller.write_all(&request.bytes()).unwrap();
    wait_until("it runs", runs);
    let mut answer = Vec::new();
    while !String::from_utf8_lossy(&answer).contains(received) {
        let mut byte = [0];
        caller.read_exact(&mut byte).unwrap();
        answer.extend(byte);
    }
    thread::sleep(after);
    drop(caller);
    Instant::now()
}

fn assert_stops_at_once<F>(
    left_at: Instant,
    what: &str,
    has_stopped: F,
) where
    F: FnMut() -> bool,
{
    wait_until(what, has_stopped);
    let took = left_at.elapsed();
    assert!(took < MAX_CANCEL_TIME, "{what}: after {took:?}");
}

#[test]
fn a_silent_generation_goes_on() {
    // Guards against cutting a generation that runs once because its engine falls silent.
    let site = Site::start(&["e-1"], 1);
    for at in ENGINE_SILENCES {
        site.set_silence(at, SILENCE);
        let arrived = site.arrivals();
        site.assert_generated(&format!("{at:?}"));
        assert_eq!(site.arrivals(), arrived + 1, "{at:?}");
    }
}

#[test]
fn a_silent_generation_goes_on_where_it_may_be_repeated() {
    // Guards against cutting a generation that may be repeated because all engines are silent.
    for engines in [&["e-1"][..], &["e-1", "e-2"]] {
        let site = Site::start(engines, 2);
        for at in ENGINE_SILENCES {
            site.set_silence(at, SILENCE);
            site.assert_generated(&format!("{at:?} at {engines:?}"));
        }
    }
}

#[test]
fn a_silent_body_is_answered_whole() {
    // Guards against ending a plain answer because its upstream pauses in the body.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::SilentBody(BODY.to_vec(), SILENCE));
    }
    // The attempts of the routes: a call that may be repeated is sent to a second upstream, too.
    for (method, target, attempts) in [("GET", "/read/", 2), ("POST", "/write/", 1)] {
        let request = Request::new(method, target).body(b"");
        assert_whole(&vm.send_request(&request), BODY, target);
        let runs = count_runs(&upstreams, request.id());
        assert!((1..=attempts).contains(&runs), "{target} ran {runs} times");
    }
}

#[test]
fn a_silent_stream_goes_on_wherever_it_pauses() {
    // Guards against cutting a stream whose upstream pauses before its head or first event, or between or inside events.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let cases = [
        (Chunked, SilentAt::Head),
        (Length, SilentAt::Event(1)),
        (Length, SilentAt::Event(MIDDLE)),
        (UntilClose, SilentAt::Event(MIDDLE)),
        (Chunked, SilentAt::InsideEvent(MIDDLE)),
        (Length, SilentAt::InsideEvent(MIDDLE)),
        (Chunked, SilentAt::Event(EVENTS + 1)),
    ];
    for target in ["/once/", "/stream/"] {
        for (framing, at) in cases {
            let silence = Silence { at, time: SILENCE };
            upstreams[0].set_default(Behaviour::SilentStream(EVENTS, framing, silence));
            let response = vm.send_request(&Request::new("POST", target).body(b"prompt"));
            let what = format!("{target} {framing:?} {at:?}");
            assert_eq!(response.status, 200, "{what}: {response:?}");
            let ids = response.events().into_iter().map(|event| event.id);
            assert!(ids.eq(1..=EVENTS), "{what}: {}", response.text());
            assert!(response.is_complete, "{what}: {response:?}");
        }
    }
}

#[test]
fn a_caller_that_leaves_stops_a_silent_engine() {
    // Guards against generations for callers that have left while their engine is silent.
    let cases = [1, 2].map(|attempts| LEAVE_AFTER.map(|after| (attempts, after)));
    for (attempts, after) in cases.into_iter().flatten() {
        let site = Site::start(&["e-1", "e-2"], attempts);
        let arrived = site.arrivals();
        for at in ENGINE_SILENCES {
            site.set_silence(at, LONG_SILENCE);
            let before = site.arrivals();
            let received = match at {
                SilentAt::Event(2) | SilentAt::InsideEvent(_) => "one",
                _ => "",
            };
            let left_at = leave(&site.vm, &generation(), received, after, || {
                site.arrivals() > before
            });
            let what = format!("{at:?} with {attempts} attempts, after {after:?}");
            assert_stops_at_once(left_at, &what, || {
                site.cancelled() as usize == site.arrivals() - arrived
            });
        }
    }
}

#[test]
fn a_caller_that_leaves_stops_a_silent_upstream() {
    // Guards against work for callers that have left while their upstream is silent.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    let body = Behaviour::SilentBody(BODY.to_vec(), LONG_SILENCE);
    let stream = |framing, at| {
        let time = LONG_SILENCE;
        Behaviour::SilentStream(EVENTS, framing, Silence { at, time })
    };
    let middle = SilentAt::Event(MIDDLE);
    let inside = SilentAt::InsideEvent(MIDDLE);
    let before = format!("piece-{}", MIDDLE - 1);
    let cases = [
        ("/read/", Behaviour::Slow(LONG_SILENCE), String::new()),
        ("/write/", Behaviour::Slow(LONG_SILENCE), String::new()),
        ("/read/", body.clone(), String::new()),
        ("/write/", body, String::new()),
        ("/stream/", stream(Chunked, SilentAt::Head), String::new()),
        ("/stream/", stream(Chunked, middle), before.clone()),
        ("/once/", stream(Length, middle), before.clone()),
        ("/once/", stream(Chunked, inside), before),
    ];
    for after in LEAVE_AFTER {
        for (target, behaviour, received) in &cases {
            for upstream in &upstreams {
                upstream.set_default(behaviour.clone());
            }
            let request = Request::new("POST", target).body(b"prompt");
            let left_at = leave(&vm, &request, received, after, || {
                count_runs(&upstreams, request.id()) == 1
            });
            let what = format!("{target} {behaviour:?}, after {after:?}");
            assert_stops_at_once(left_at, &what, || {
                let stopped = |upstream: &UpstreamStandIn| {
                    upstream.cancelled() as usize == upstream.executed().len()
                };
                upstreams.iter().all(stopped)
            });
        }
    }
}
