//! Requests that come late in the grace of a planned stop, or still run at its end.

mod deployment;

use {
    deployment::{
        Request, Response, TIMEOUT, Vm, config, count_runs, exchange, read_next_response,
        read_response, start_platform, wait_until,
    },
    jasmine_platform_stand_in::{Behaviour, KvStandIn, UpstreamStandIn},
    nix::sys::signal::Signal,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

/// Time between two rounds of requests.
const ROUND: Duration = Duration::from_millis(500);
/// Rounds of requests from the signal on, up to the end of the grace of 8 s.
const ROUNDS: u32 = 15;
/// Until when a request may be taken whose work then lasts beyond the grace.
const MAX_TAKEN_AT: Duration = Duration::from_secs(3);
/// The begin of the last sixth of the grace.
const LAST_SIXTH: Duration = Duration::from_millis(6_667);
/// Deadline of all requests; beyond the grace.
const DEADLINE_MS: &str = "15000";

fn start_long_platform(upstreams: &[&str]) -> (KvStandIn, Vec<UpstreamStandIn>) {
    let (store, upstreams) = start_platform(upstreams);
    let mut config = config(2);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 15_000.into();
        // No hedges.
        route["attempts"] = 1.into();
    }
    config["limits"]["idle_timeout_ms"] = 15_000.into();
    store.put("op/config", &config);
    (store, upstreams)
}

fn long_request(target: &str) -> Request {
    let request = if target == "/write/" {
        Request::new("POST", target).body(b"enrol")
    } else {
        Request::new("GET", target)
    };
    request.with("X-Deadline-Ms", DEADLINE_MS)
}

/// Opens a connection that has carried a request.
fn open_kept(vm: &Vm) -> TcpStream {
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
        .write_all(&Request::new("GET", "/read/").bytes())
        .unwrap();
    assert_eq!(read_response(&mut stream).unwrap().status, 200);
    stream
}

fn send_kept(
    mut stream: TcpStream,
    bytes: &[u8],
) -> Option<Response> {
    stream.write_all(bytes).ok()?;
    read_response(&mut stream)
}

/// What became of one request.
#[derive(Debug)]
struct End {
    id: String,
    is_kept: bool,
    sent_at: Duration,
    ended_at: Duration,
    response: Option<Response>,
}

impl End {
    fn is_complete(&self) -> bool {
        self.response.as_ref().is_some_and(|it| it.is_complete)
    }

    /// Whether its upstream was still at work when the grace was nearly over.
    fn is_excused(&self) -> bool {
        self.sent_at <= MAX_TAKEN_AT && self.ended_at >= LAST_SIXTH
    }
}

/// Sends requests at each half second of a stop during which a call runs that outlasts it; returns their ends, and the
/// response to that call.
fn play(
    targets: &[&'static str],
    behaviour: &Behaviour,
) -> (Vec<End>, Option<Response>, Vec<UpstreamStandIn>) {
    let (store, upstreams) = start_long_platform(&["s-1", "s-2"]);
    let mut vm = Vm::start(&store);
    let kept = targets
        .iter()
        .flat_map(|_| 0..ROUNDS)
        .map(|_| open_kept(&vm));
    let mut kept: Vec<_> = kept.collect();
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Slow(Duration::from_secs(20)));
    }
    let callers = vm.callers;
    let outlasting = long_request("/write/");
    let id = outlasting.id().to_owned();
    let outlasting = thread::spawn(move || exchange(callers, &outlasting.bytes()));
    wait_until("the call runs", || count_runs(&upstreams, &id) == 1);
    for upstream in &upstreams {
        upstream.set_default(behaviour.clone());
    }
    vm.signal(Signal::SIGTERM);
    let begun = Instant::now();
    let mut running = Vec::new();
    for round in 0..ROUNDS {
        thread::sleep((begun + ROUND * round).saturating_duration_since(Instant::now()));
        for &target in targets {
            let mut start = |kept: Option<TcpStream>| {
                running.push(thread::spawn(move || {
                    let request = long_request(target);
                    let sent_at = begun.elapsed();
                    let is_kept = kept.is_some();
                    let response = match kept {
                        Some(stream) => send_kept(stream, &request.bytes()),
                        None => exchange(callers, &request.bytes()),
                    };
                    let id = request.id().to_owned();
                    let ended_at = begun.elapsed();
                    End {
                        id,
                        is_kept,
                        sent_at,
                        ended_at,
                        response,
                    }
                }));
            };
            start(kept.pop());
            start(None);
        }
    }
    let ends = running.into_iter().map(|end| end.join().unwrap()).collect();
    assert!(vm.wait_for_exit().success());
    (ends, outlasting.join().unwrap(), upstreams)
}

/// Requests that ran are answered whole, unless they are excused; others are refused, or the connection was closed.
fn assert_answered(
    targets: &[&'static str],
    behaviour: &Behaviour,
) {
    let (ends, outlasting, upstreams) = play(targets, behaviour);
    let mut counts = [0; 4];
    for end in &ends {
        let runs = count_runs(&upstreams, &end.id);
        let status = end.response.as_ref().map(|response| response.status);
        let text = format!("{behaviour:?} {end:?}, {runs} runs");
        assert!(runs == 0 || end.sent_at <= MAX_TAKEN_AT, "{text}");
        assert!(
            runs == 0 || status.is_none_or(|status| status != 503),
            "{text}"
        );
        match (runs, status) {
            (0, Some(503)) => {
                let response = end.response.as_ref().unwrap();
                assert!(response.is_complete, "{text}");
                assert!(response.text().contains("shutting_down"), "{text}");
                assert!(response.header("retry-after").is_some(), "{text}");
                counts[1] += 1;
            }
            // An idle connection is closed, and no connection is taken after the exit.
            (0, None) => {
                assert!(end.is_kept || end.ended_at >= LAST_SIXTH, "{text}");
                counts[2] += 1;
            }
            _ if end.is_complete() => counts[0] += 1,
            _ => {
                assert!(end.is_excused(), "{text}");
                counts[3] += 1;
            }
        }
    }
    let [answered, refused, closed, excused] = counts;
    println!(
        "{targets:?} {behaviour:?}: of {} answered {answered}, refused {refused}, closed {closed}, excused {excused}",
        ends.len()
    );
    let outlasting = outlasting.expect("a response at the end of the grace");
    assert_eq!((outlasting.status, outlasting.is_complete), (502, true));
    assert!(
        outlasting.text().contains("upstream_lost"),
        "{}",
        outlasting.text()
    );
}

#[test]
fn calls_in_the_grace_are_answered() {
    // Guards against calls that are taken late in the grace, or still run at its end, and get no response.
    thread::scope(|scope| {
        for ms in [100, 700, 1_500, 3_000] {
            let behaviour = Behaviour::Slow(Duration::from_millis(ms));
            scope.spawn(move || assert_answered(&["/write/", "/read/"], &behaviour));
        }
    });
}

#[test]
fn streams_in_the_grace_end_whole() {
    // Guards against streams that are taken late in the grace and cut at its end.
    thread::scope(|scope| {
        for ms in [100, 1_500, 3_000, 10_000] {
            let behaviour = Behaviour::Pauses(4, Duration::from_millis(ms));
            scope.spawn(move || assert_answered(&["/stream/", "/once/"], &behaviour));
        }
    });
}

#[test]
fn slow_bodies_are_refused_before_exit() {
    // Guards against an exit that resets connections on which a request is still arriving.
    let (store, _upstreams) = start_long_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    let send = |address: SocketAddr, rest_at: Option<Duration>| {
        let request = long_request("/write/");
        let mut bytes = request.bytes();
        let rest = bytes.split_off(bytes.len() - 2);
        let mut stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(&bytes).unwrap();
        if let Some(rest_at) = rest_at {
            thread::sleep(rest_at);
            stream.write_all(&rest).ok()?;
        }
        Some((request.id().to_owned(), read_response(&mut stream)?))
    };
    let callers = vm.callers;
    let late = thread::spawn(move || send(callers, Some(Duration::from_millis(3_800))));
    let never = thread::spawn(move || send(callers, None));
    thread::sleep(Duration::from_millis(300));
    vm.signal(Signal::SIGTERM);
    let begun = Instant::now();
    for caller in [late, never] {
        let (id, response) = caller.join().unwrap().expect("a response");
        assert_eq!((response.status, response.is_complete), (503, true));
        assert_eq!(response.header("x-request-id"), Some(id));
        assert!(
            response.text().contains("shutting_down"),
            "{}",
            response.text()
        );
    }
    assert!(vm.wait_for_exit().success());
    assert!(begun.elapsed() < LAST_SIXTH, "{:?}", begun.elapsed());
}

#[test]
fn pipelined_requests_are_refused() {
    // Guards against a pipelined request that is dropped as the response before it ends late in the grace.
    let (store, upstreams) = start_long_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Slow(Duration::from_secs(4)));
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(&long_request("/write/").bytes()).unwrap();
    wait_until("the call runs", || upstreams[0].executed().len() == 1);
    vm.signal(Signal::SIGTERM);
    thread::sleep(Duration::from_millis(3_300));
    stream.write_all(&long_request("/write/").bytes()).unwrap();
    let mut rest = Vec::new();
    let first = read_next_response(&mut stream, &mut rest).expect("a response");
    assert_eq!((first.status, first.is_complete), (200, true));
    let second = read_next_response(&mut stream, &mut rest).expect("a response");
    assert_eq!((second.status, second.is_complete), (503, true));
    assert_eq!(upstreams[0].executed().len(), 1);
    assert!(vm.wait_for_exit().success());
}

#[test]
fn an_unframed_stream_is_reset_at_the_end() {
    // Guards against a stream to an HTTP/1.0 caller that the exit ends as if it were complete.
    let (store, upstreams) = start_long_platform(&["s-1"]);
    let mut vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Pauses(4, Duration::from_secs(12)));
    let request = String::from_utf8(long_request("/stream/").bytes()).unwrap();
    let mut stream = TcpStream::connect(vm.callers).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let request = request.replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).unwrap();
    wait_until("the stream runs", || upstreams[0].executed().len() == 1);
    vm.signal(Signal::SIGTERM);
    let mut received = Vec::new();
    let end = stream.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received);
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(end.is_err(), "ended like a complete stream: {text}");
    assert!(vm.wait_for_exit().success());
}
