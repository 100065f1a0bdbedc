//! Streams that go on at their deadline.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::{Babble, BabbleAt, Behaviour, Pace},
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Longest time that a caller listens.
const MAX_WAIT: Duration = Duration::from_secs(6);

/// When a caller that has stopped reading goes on, after the deadline.
const READ_AFTER: Duration = Duration::from_millis(2_500);

/// Reads a stream of one upstream as fast as it comes; returns when it has ended.
fn time_until_end(
    at: BabbleAt,
    target: &str,
) -> Duration {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].set_default(Behaviour::Babble(Babble {
        at,
        pace: Pace::FULL,
    }));
    let deadline = DEADLINE.as_millis().to_string();
    let req = Request::new("POST", target)
        .with("X-Deadline-Ms", &deadline)
        .body(b"prompt");
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller.set_read_timeout(Some(MAX_WAIT)).unwrap();
    caller.write_all(&req.bytes()).unwrap();
    let begun = Instant::now();
    let mut buf = vec![0_u8; 64 << 10];
    while begun.elapsed() < MAX_WAIT && matches!(caller.read(&mut buf), Ok(n) if n > 0) {}
    begun.elapsed()
}

fn assert_ends_in_time(
    at: BabbleAt,
    target: &str,
) {
    let took = time_until_end(at, target);
    assert!(took < DEADLINE + Duration::from_millis(500), "{took:?}");
}

#[test]
fn endless_new_events_end_at_the_deadline() {
    // Guards against a stream whose next event is always there, so that its deadline is never looked at.
    assert_ends_in_time(BabbleAt::EventsWithoutId(1), "/once/");
}

#[test]
fn endless_comments_end_at_the_deadline() {
    // Guards against a stream whose next comment is always there, so that its deadline is never looked at.
    assert_ends_in_time(BabbleAt::Comments(1), "/once/");
}

#[test]
fn endless_bytes_end_at_the_deadline() {
    // Guards against bytes that are always there and no event, so that the deadline of a stream is never looked at.
    for target in ["/once/", "/stream/"] {
        assert_ends_in_time(BabbleAt::KnownEvents(1), target);
        assert_ends_in_time(BabbleAt::ChunkExtensions(1), target);
    }
}

#[test]
fn a_caller_that_reads_late_makes_no_upstream_silent() {
    // Guards against taking an upstream for silent whose caller has not read its events until the deadline.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].set_default(Behaviour::Babble(Babble {
        at: BabbleAt::EventsWithoutId(1),
        pace: Pace {
            bytes: 4_096,
            interval: Duration::ZERO,
        },
    }));
    let deadline = DEADLINE.as_millis().to_string();
    let req = Request::new("POST", "/once/")
        .with("X-Deadline-Ms", &deadline)
        .body(b"prompt");
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller.set_read_timeout(Some(MAX_WAIT)).unwrap();
    caller.write_all(&req.bytes()).unwrap();
    thread::sleep(READ_AFTER);
    let mut buf = vec![0_u8; 64 << 10];
    while matches!(caller.read(&mut buf), Ok(n) if n > 0) {}
    wait_until("it has failed", || {
        !vm.log_lines("attempt_failed").is_empty()
    });
    let lines = vm.log_lines("attempt_failed");
    assert!(
        lines.iter().all(|line| !line.contains("outcome=Silent")),
        "{lines:?}"
    );
}
