//! Upstreams that fall silent for a while and go on, or break off, behind a VM that sends requests on for another one.

mod deployment;

use {
    deployment::{Request, Response, TIMEOUT, Vm, config, count_runs, source_address, wait_until},
    jasmine_platform_stand_in::{
        Behaviour, KvStandIn, Silence, SilentAt,
        StreamFraming::{self, Chunked, Length},
        UpstreamStandIn,
    },
    jasmine_testkit::proxy::{Fault, Proxy},
    nix::sys::signal::Signal,
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        io::{Read, Write},
        net::TcpStream,
        ops::RangeInclusive,
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than any time after which another upstream is sought, well within the deadline of the requests.
const SILENCE: Duration = Duration::from_secs(2);
/// Shorter than any time after which another upstream is sought.
const SHORT_SILENCE: Duration = Duration::from_millis(400);
/// Silence during which callers leave, nearly as long as the deadline.
const LONG_SILENCE: Duration = Duration::from_millis(4_500);
/// When callers leave after the begin of a silence: at once, and when another upstream has been sought.
const LEAVE_AFTER: [Duration; 2] = [Duration::ZERO, Duration::from_millis(1_500)];
/// How long an upstream may go on with the work of a caller that has left.
const MAX_CANCEL_TIME: Duration = Duration::from_secs(1);
const EVENTS: u64 = 8;
/// The first event after a silence in the middle of a stream.
const MIDDLE: u64 = EVENTS / 2 + 1;
const BODY: &[u8] = b"first half, second half";
/// The VM that has lost its links to the upstreams.
const CUT_OFF: usize = 1;

/// The VM that stops while it sends requests on.
const STOPPED: usize = 2;
/// Requests at a time, of which some go through the VM that stops.
const REQUESTS: usize = 10;

/// Upstreams and VMs of which one reaches the upstreams only through the others.
struct Site {
    upstreams: Vec<UpstreamStandIn>,
    vms: Vec<Vm>,
    _links: Vec<Proxy>,
    _store: KvStandIn,
}

impl Site {
    /// Starts two VMs.
    fn start<F>(
        name: &str,
        upstreams: &[&str],
        config: &Value,
        change: F,
    ) -> Self
    where
        F: Fn(&mut Value),
    {
        Self::start_vms(name, 2, upstreams, config, change)
    }

    fn start_vms<F>(
        name: &str,
        vms: usize,
        upstreams: &[&str],
        config: &Value,
        change: F,
    ) -> Self
    where
        F: Fn(&mut Value),
    {
        let store = KvStandIn::start().unwrap();
        store.put("op/config", config);
        let upstreams: Vec<_> = upstreams
            .iter()
            .map(|id| UpstreamStandIn::start(id).unwrap())
            .collect();
        let register = |upstream: &UpstreamStandIn| {
            let mut entry = upstream.entry("app", "one", "ready");
            let target = entry["address"].as_str().unwrap().parse().unwrap();
            let link = Proxy::start("127.0.0.1:0".parse().unwrap(), target).unwrap();
            entry["address"] = json!(link.address().to_string());
            store.put(&upstream.key(), &entry);
            link
        };
        let links: Vec<_> = upstreams.iter().map(register).collect();
        let start_vm = |number: usize| {
            let vm_name = format!("{name}-{number}-{}", std::process::id());
            let vm = Vm::start_with_settings(store.address(), &vm_name, |settings| {
                settings["upstream_source"] = json!(source_address(number));
                change(settings);
            });
            wait_until("the daemon is ready", || vm.is_ready());
            let event = match number {
                0 => "lead_taken",
                _ => "leader_followed",
            };
            wait_until(event, || !vm.log_lines(event).is_empty());
            vm
        };
        let vms: Vec<_> = (0..vms).map(start_vm).collect();
        for link in &links {
            link.set_mode_for(source_address(CUT_OFF), Some(Fault::Refuse));
        }
        wait_until("all others send its requests on", || {
            vms[CUT_OFF].send_request(&Request::new("GET", "/read/"));
            let relayed = vms[CUT_OFF].log_lines("request_relayed");
            let through = |line: &String| Some(line.split_once(" through=")?.1.to_owned());
            let through: BTreeSet<_> = relayed.iter().filter_map(through).collect();
            through.len() == vms.len() - 1
        });
        Self {
            upstreams,
            vms,
            _links: links,
            _store: store,
        }
    }

    fn set_all(
        &self,
        behaviour: &Behaviour,
    ) {
        for upstream in &self.upstreams {
            upstream.set_default(behaviour.clone());
        }
    }

    /// Sends a request through the VM that has lost its links; the other one sends it on for as many runs as `runs` says.
    fn send(
        &self,
        request: &Request,
        runs: &RangeInclusive<usize>,
        what: &str,
    ) -> Response {
        let vm = &self.vms[CUT_OFF];
        let response = vm.send_request(request);
        assert_eq!(response.status, 200, "{what}: {response:?}");
        assert!(response.is_complete, "{what}: {response:?}");
        let count = count_runs(&self.upstreams, request.id());
        assert!(runs.contains(&count), "{what}: {count} runs");
        wait_until("it is logged as sent on", || self.is_sent_on(request));
        response
    }

    /// Whether the head of an answer to it has come through another VM.
    fn is_sent_on(
        &self,
        request: &Request,
    ) -> bool {
        let id = format!(" id={} ", request.id());
        let lines = self.vms[CUT_OFF].log_lines("request_relayed");
        lines.iter().any(|line| line.contains(&id))
    }

    fn assert_whole_stream(
        &self,
        target: &str,
        runs: RangeInclusive<usize>,
        what: &str,
    ) {
        let request = Request::new("POST", target).body(b"prompt");
        let response = self.send(&request, &runs, what);
        let ids = response.events().into_iter().map(|event| event.id);
        assert!(ids.eq(1..=EVENTS), "{what}: {}", response.text());
    }

    fn assert_whole_call(
        &self,
        method: &'static str,
        target: &str,
        runs: RangeInclusive<usize>,
        body: &[u8],
    ) {
        let request = Request::new(method, target).body(b"");
        let response = self.send(&request, &runs, target);
        assert_eq!(response.body, body, "{target}: {}", response.text());
    }

    /// Sends a request whose caller leaves in a silence, which begins once it runs and `received` of its answer has
    /// arrived; returns when it has left.
    fn leave(
        &self,
        request: &Request,
        received: &str,
        after: Duration,
    ) -> Instant {
        let mut caller = TcpStream::connect(self.vms[CUT_OFF].callers).unwrap();
        caller.set_read_timeout(Some(TIMEOUT)).unwrap();
        caller.write_all(&request.bytes()).unwrap();
        wait_until("it runs", || count_runs(&self.upstreams, request.id()) == 1);
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

    /// Sends requests through the VM that has lost its links and stops another one once they run and are `sent_on`, as
    /// silently as a paused machine; returns the responses.
    fn stop_a_relay(
        &self,
        requests: &[Request],
        sent_on: bool,
    ) -> Vec<Response> {
        let vm = &self.vms[CUT_OFF];
        thread::scope(|scope| {
            let send = |request| scope.spawn(move || vm.send_request(request));
            let callers: Vec<_> = requests.iter().map(send).collect();
            let runs = |request: &Request| count_runs(&self.upstreams, request.id()) > 0;
            wait_until("all run", || requests.iter().all(runs));
            let is_sent_on = |request: &Request| self.is_sent_on(request);
            wait_until("they are sent on", || {
                !sent_on || requests.iter().all(is_sent_on)
            });
            self.vms[STOPPED].signal(Signal::SIGSTOP);
            let responses = callers.into_iter().map(|caller| caller.join().unwrap());
            let responses = responses.collect();
            self.vms[STOPPED].signal(Signal::SIGCONT);
            responses
        })
    }

    fn executed(&self) -> usize {
        let executed = self
            .upstreams
            .iter()
            .map(|upstream| upstream.executed().len());
        executed.sum()
    }

    fn cancelled(&self) -> u32 {
        self.upstreams.iter().map(UpstreamStandIn::cancelled).sum()
    }
}

/// A stream that is silent once.
const fn silent_stream(
    framing: StreamFraming,
    at: SilentAt,
    time: Duration,
) -> Behaviour {
    Behaviour::SilentStream(EVENTS, framing, Silence { at, time })
}

/// A configuration whose routes allow this many attempts.
fn config_with_attempts(attempts: u32) -> Value {
    let mut config = config(1);
    for route in config["routes"].as_array_mut().unwrap() {
        route["attempts"] = json!(attempts);
    }
    config
}

fn without_retries(settings: &mut Value) {
    settings["repeats"] = json!({"ratio": 0.0, "slack": 0.0, "window_s": 10.0});
}

const fn unchanged(_: &mut Value) {}

/// The streams of a sound upstream that is silent before its head, before its first event, and in the middle.
fn silent_streams() -> [Behaviour; 4] {
    [
        silent_stream(Chunked, SilentAt::Head, SILENCE),
        silent_stream(Chunked, SilentAt::Event(1), SILENCE),
        silent_stream(Length, SilentAt::Event(MIDDLE), SILENCE),
        silent_stream(Chunked, SilentAt::InsideEvent(MIDDLE), SILENCE),
    ]
}

#[test]
fn a_relayed_call_waits_for_its_only_attempt() {
    // Guards against failing a relayed call because its upstream is silent for longer than the call's objective.
    let site = Site::start(
        "relay-call",
        &["s-1", "s-2"],
        &config_with_attempts(1),
        unchanged,
    );
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("GET", "/read/", 1..=1, b"slow");
    site.set_all(&Behaviour::SilentBody(BODY.to_vec(), SILENCE));
    site.assert_whole_call("GET", "/read/", 1..=1, BODY);
}

#[test]
fn a_relayed_stream_waits_for_its_only_attempt() {
    // Guards against cutting a relayed stream because its upstream falls silent, although no other attempt is allowed.
    let site = Site::start(
        "relay-stream",
        &["s-1", "s-2"],
        &config_with_attempts(1),
        unchanged,
    );
    for behaviour in silent_streams() {
        site.set_all(&behaviour);
        site.assert_whole_stream("/stream/", 1..=1, &format!("{behaviour:?}"));
    }
}

#[test]
fn a_relayed_call_waits_for_its_last_attempt() {
    // Guards against failing a relayed call whose first answer broke off because the upstream of its last attempt is silent.
    let site = Site::start("relay-last-call", &["s-1"], &config(1), unchanged);
    site.upstreams[0].next(Behaviour::Truncate);
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("GET", "/read/", 2..=2, b"slow");
}

#[test]
fn a_relayed_stream_waits_for_its_last_attempt() {
    // Guards against cutting a relayed stream that was resumed because the upstream of its last attempt falls silent.
    let site = Site::start("relay-last-stream", &["s-1"], &config(1), unchanged);
    for behaviour in silent_streams() {
        site.upstreams[0].next(Behaviour::CutAfter(2));
        site.set_all(&behaviour);
        site.assert_whole_stream("/stream/", 2..=2, &format!("{behaviour:?}"));
    }
}

#[test]
fn relayed_requests_wait_without_retry_budget() {
    // Guards against ending relayed requests of silent upstreams although no retry budget is left for another attempt.
    let site = Site::start(
        "relay-no-retries",
        &["s-1", "s-2"],
        &config(1),
        without_retries,
    );
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("GET", "/read/", 1..=1, b"slow");
    for behaviour in silent_streams() {
        site.set_all(&behaviour);
        site.assert_whole_stream("/stream/", 1..=1, &format!("{behaviour:?}"));
    }
}

#[test]
fn a_relayed_call_moves_on_from_a_silent_upstream() {
    // Guards against taking a silent upstream for a failed relay, so that no VM is left to send the call to another one.
    let site = Site::start("relay-next-call", &["s-1", "s-2"], &config(1), unchanged);
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("GET", "/read/", 1..=2, b"slow");
}

#[test]
fn a_relayed_stream_moves_on_from_a_silent_upstream() {
    // Guards against taking a silent upstream for a failed relay, so that no VM is left to send the stream to another one.
    let site = Site::start("relay-next-stream", &["s-1", "s-2"], &config(1), unchanged);
    for behaviour in silent_streams() {
        site.set_all(&behaviour);
        site.assert_whole_stream("/stream/", 1..=2, &format!("{behaviour:?}"));
    }
}

#[test]
fn a_relayed_call_is_repeated_after_a_reset() {
    // Guards against taking an upstream that resets its connection for a failed relay, so that no VM is left to repeat the call.
    let site = Site::start("relay-reset", &["s-1"], &config(1), unchanged);
    site.upstreams[0].next(Behaviour::Reset);
    site.assert_whole_call("GET", "/read/", 2..=2, b"ok");
}

#[test]
fn a_call_moves_on_from_a_silent_relay() {
    // Guards against waiting for the VM that sends a call on, as for a silent upstream, although another VM could.
    let site = Site::start_vms("stopped-call", 3, &["s-1", "s-2"], &config(1), unchanged);
    site.set_all(&Behaviour::Slow(SHORT_SILENCE));
    let requests = [(); REQUESTS].map(|()| Request::new("GET", "/read/"));
    for response in site.stop_a_relay(&requests, false) {
        assert_eq!(response.status, 200, "{response:?}");
    }
}

#[test]
fn a_stream_moves_on_from_a_silent_relay() {
    // Guards against taking a stream up through the same VM that has fallen silent, although another one could send it on.
    let site = Site::start_vms("stopped-stream", 3, &["s-1", "s-2"], &config(1), unchanged);
    site.set_all(&silent_stream(
        Chunked,
        SilentAt::Event(MIDDLE),
        SHORT_SILENCE,
    ));
    let requests = [(); REQUESTS].map(|()| Request::new("POST", "/stream/").body(b"prompt"));
    for response in site.stop_a_relay(&requests, true) {
        let ids = response.events().into_iter().map(|event| event.id);
        assert!(ids.eq(1..=EVENTS), "{}", response.text());
        assert!(response.is_complete, "{response:?}");
    }
}

#[test]
fn relayed_requests_that_run_once_wait() {
    // Guards against ending relayed requests of silent upstreams that can be neither repeated nor resumed.
    let site = Site::start("relay-once", &["s-1", "s-2"], &config(1), unchanged);
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("POST", "/write/", 1..=1, b"slow");
    site.set_all(&Behaviour::SilentBody(BODY.to_vec(), SILENCE));
    site.assert_whole_call("POST", "/write/", 1..=1, BODY);
    for behaviour in silent_streams() {
        site.set_all(&behaviour);
        site.assert_whole_stream("/once/", 1..=1, &format!("{behaviour:?}"));
    }
}

#[test]
fn a_relayed_caller_that_leaves_stops_a_silent_upstream() {
    // Guards against work for callers that have left while the upstream of their relayed request is silent.
    let site = Site::start("relay-left", &["s-1", "s-2"], &config(1), unchanged);
    let body = Behaviour::SilentBody(BODY.to_vec(), LONG_SILENCE);
    let middle = silent_stream(Chunked, SilentAt::Event(MIDDLE), LONG_SILENCE);
    let before = format!("piece-{}", MIDDLE - 1);
    let cases = [
        ("/read/", Behaviour::Slow(LONG_SILENCE), ""),
        ("/write/", Behaviour::Slow(LONG_SILENCE), ""),
        ("/write/", body, ""),
        ("/stream/", middle.clone(), &before),
        ("/once/", middle, &before),
    ];
    let executed = site.executed();
    for after in LEAVE_AFTER {
        for (target, behaviour, received) in &cases {
            site.set_all(behaviour);
            let request = Request::new("POST", target).body(b"prompt");
            let left_at = site.leave(&request, received, after);
            let what = format!("{target} {behaviour:?}, after {after:?}");
            wait_until(&what, || {
                site.cancelled() as usize == site.executed() - executed
            });
            let took = left_at.elapsed();
            assert!(took < MAX_CANCEL_TIME, "{what}: after {took:?}");
        }
    }
}
