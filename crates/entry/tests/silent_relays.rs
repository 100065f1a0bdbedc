//! Upstreams that fall silent for a while and go on, behind a VM that sends requests on for another one.

mod deployment;

use {
    deployment::{Request, Response, TIMEOUT, Vm, config, count_runs, wait_until},
    jasmine_platform_stand_in::{
        Behaviour, KvStandIn, Silence, SilentAt,
        StreamFraming::{self, Chunked, Length},
        UpstreamStandIn,
    },
    jasmine_testkit::proxy::{Fault, Proxy},
    serde_json::{Value, json},
    std::{
        io::{Read, Write},
        net::{IpAddr, Ipv4Addr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than any time after which another upstream is sought, well within the deadline of the requests.
const SILENCE: Duration = Duration::from_secs(2);
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

/// The address from which a VM connects to upstreams.
fn source(vm: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 10 + vm as u8))
}

/// Upstreams and two VMs, of which one reaches the upstreams only through the other one.
struct Site {
    upstreams: Vec<UpstreamStandIn>,
    vms: Vec<Vm>,
    _links: Vec<Proxy>,
    _store: KvStandIn,
}

impl Site {
    fn start<F>(
        name: &str,
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
                settings["upstream_source"] = json!(source(number));
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
        let vms: Vec<_> = (0..2).map(start_vm).collect();
        for link in &links {
            link.set_mode_for(source(CUT_OFF), Some(Fault::Refuse));
        }
        wait_until("its requests are sent on", || {
            vms[CUT_OFF].send_request(&Request::new("GET", "/read/"));
            !vms[CUT_OFF].log_lines("request_relayed").is_empty()
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

    /// Sends a request through the VM that has lost its links, and asserts that the other one has sent it on this often.
    fn send(
        &self,
        request: &Request,
        runs: usize,
        what: &str,
    ) -> Response {
        let response = self.vms[CUT_OFF].send_request(request);
        assert_eq!(response.status, 200, "{what}: {response:?}");
        assert!(response.is_complete, "{what}: {response:?}");
        assert_eq!(count_runs(&self.upstreams, request.id()), runs, "{what}");
        let id = format!(" id={} ", request.id());
        wait_until("each run is logged as sent on", || {
            let relayed = self.vms[CUT_OFF].log_lines("request_relayed");
            relayed.iter().filter(|line| line.contains(&id)).count() == runs
        });
        response
    }

    fn assert_whole_stream(
        &self,
        target: &str,
        runs: usize,
        what: &str,
    ) {
        let request = Request::new("POST", target).body(b"prompt");
        let response = self.send(&request, runs, what);
        let ids = response.events().into_iter().map(|event| event.id);
        assert!(ids.eq(1..=EVENTS), "{what}: {}", response.text());
    }

    fn assert_whole_call(
        &self,
        method: &'static str,
        target: &str,
        runs: usize,
        body: &[u8],
    ) {
        let request = Request::new(method, target).body(b"");
        let response = self.send(&request, runs, target);
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
    site.assert_whole_call("GET", "/read/", 1, b"slow");
    site.set_all(&Behaviour::SilentBody(BODY.to_vec(), SILENCE));
    site.assert_whole_call("GET", "/read/", 1, BODY);
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
        site.assert_whole_stream("/stream/", 1, &format!("{behaviour:?}"));
    }
}

#[test]
fn a_relayed_call_waits_for_its_last_attempt() {
    // Guards against failing a relayed call whose first answer broke off because the upstream of its last attempt is silent.
    let site = Site::start("relay-last-call", &["s-1"], &config(1), unchanged);
    site.upstreams[0].next(Behaviour::Truncate);
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("GET", "/read/", 2, b"slow");
}

#[test]
fn a_relayed_stream_waits_for_its_last_attempt() {
    // Guards against cutting a relayed stream that was resumed because the upstream of its last attempt falls silent.
    let site = Site::start("relay-last-stream", &["s-1"], &config(1), unchanged);
    for behaviour in silent_streams() {
        site.upstreams[0].next(Behaviour::CutAfter(2));
        site.set_all(&behaviour);
        site.assert_whole_stream("/stream/", 2, &format!("{behaviour:?}"));
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
    site.assert_whole_call("GET", "/read/", 1, b"slow");
    for behaviour in silent_streams() {
        site.set_all(&behaviour);
        site.assert_whole_stream("/stream/", 1, &format!("{behaviour:?}"));
    }
}

#[test]
fn relayed_requests_that_run_once_wait() {
    // Guards against ending relayed requests of silent upstreams that can be neither repeated nor resumed.
    let site = Site::start("relay-once", &["s-1", "s-2"], &config(1), unchanged);
    site.set_all(&Behaviour::Slow(SILENCE));
    site.assert_whole_call("POST", "/write/", 1, b"slow");
    site.set_all(&Behaviour::SilentBody(BODY.to_vec(), SILENCE));
    site.assert_whole_call("POST", "/write/", 1, BODY);
    for behaviour in silent_streams() {
        site.set_all(&behaviour);
        site.assert_whole_stream("/once/", 1, &format!("{behaviour:?}"));
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
