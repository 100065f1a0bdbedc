//! Upstreams that send bytes without end as fast as they can, beside callers who need no upstream.

mod deployment;

use {
    deployment::{Request, Vm, start_platform, wait_until},
    jasmine_platform_stand_in::{Babble, BabbleAt, Behaviour, Pace},
    std::{
        io::{self, Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Streams that babble at a time.
const STREAMS: usize = 6;
/// How long callers send requests beside them.
const TIME: Duration = Duration::from_secs(2);
/// How long a refusal that needs no upstream may take.
const MAX_DELAY: Duration = Duration::from_millis(250);
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// One test at a time: each keeps several processors busy.
static BUSY: Mutex<()> = Mutex::new(());

/// Sends a request and reads what comes until the connection is closed, or until `ends`.
fn discard_response(
    address: SocketAddr,
    request: &Request,
    ends: &AtomicBool,
) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(CALL_INTERVAL)).unwrap();
    stream.write_all(&request.bytes()).unwrap();
    let mut buf = vec![0_u8; 65_536];
    while !ends.load(Ordering::Relaxed) {
        match stream.read(&mut buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
}

/// Callers who need no upstream are refused in time while streams babble like this.
fn assert_no_delay(
    target: &str,
    at: BabbleAt,
) {
    let _one_at_a_time = BUSY.lock().unwrap_or_else(PoisonError::into_inner);
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    let pace = Pace::FULL;
    for upstream in &upstreams {
        upstream.set_default(Behaviour::Babble(Babble { at, pace }));
    }
    let ends = AtomicBool::new(false);
    let babble = || {
        while !ends.load(Ordering::Relaxed) {
            let req = Request::new("POST", target).body(b"prompt");
            discard_response(vm.callers, &req.with("Connection", "close"), &ends);
            thread::sleep(CALL_INTERVAL);
        }
    };
    let slowest = thread::scope(|scope| {
        for _ in 0..STREAMS {
            scope.spawn(babble);
        }
        wait_until("all have run", || {
            let runs = upstreams.iter().map(|upstream| upstream.arrivals().len());
            runs.sum::<usize>() >= STREAMS
        });
        let until = Instant::now() + TIME;
        let mut slowest = Duration::ZERO;
        while Instant::now() < until {
            let sent_at = Instant::now();
            let response = vm.send_raw(&Request::new("GET", "/nowhere/").bytes());
            slowest = slowest.max(sent_at.elapsed());
            let status = response.map(|response| response.status);
            if status != Some(404) {
                ends.store(true, Ordering::Relaxed);
                return Err(status);
            }
            thread::sleep(CALL_INTERVAL);
        }
        ends.store(true, Ordering::Relaxed);
        Ok(slowest)
    });
    let late = vm.log_lines("tasks_late").join("\n");
    assert!(
        slowest.is_ok_and(|slowest| slowest < MAX_DELAY),
        "{slowest:?}\n{late}"
    );
}

#[test]
fn first_events_without_end_delay_no_other_caller() {
    // Guards against work that grows with what is buffered of an event, on the thread that serves all callers.
    assert_no_delay("/stream/", BabbleAt::Event(0));
}

#[test]
fn later_events_without_end_delay_no_other_caller() {
    // Guards against work that grows with what is buffered of an event in the middle of a stream.
    assert_no_delay("/stream/", BabbleAt::Event(3));
}

#[test]
fn streams_without_events_delay_no_other_caller() {
    // Guards against work that grows with what is buffered of a stream whose body isn't events.
    assert_no_delay("/stream/", BabbleAt::BodyUntilClose);
}

#[test]
fn bodies_without_end_delay_no_other_caller() {
    // Guards against work that grows with what is buffered of a call's answer.
    assert_no_delay("/read/", BabbleAt::LongBody);
}

#[test]
fn failures_without_end_delay_no_other_caller() {
    // Guards against reading the body of a failure at the cost of all other callers.
    assert_no_delay("/read/", BabbleAt::FailureBody);
}

#[test]
fn heads_without_end_delay_no_other_caller() {
    // Guards against work that grows with what is buffered of a head.
    assert_no_delay("/read/", BabbleAt::HeaderLine);
}

#[test]
fn other_responses_delay_no_other_caller() {
    // Guards against skipping responses to other requests at the cost of all other callers.
    assert_no_delay("/read/", BabbleAt::OtherBody);
}

#[test]
fn interim_responses_delay_no_other_caller() {
    // Guards against skipping interim responses at the cost of all other callers.
    assert_no_delay("/read/", BabbleAt::InterimResponses);
}

#[test]
fn comments_delay_no_other_caller() {
    // Guards against forwarding comments at the cost of all other callers.
    assert_no_delay("/stream/", BabbleAt::Comments(3));
}

#[test]
fn known_events_delay_no_other_caller() {
    // Guards against skipping events that a caller has already at the cost of all other callers.
    assert_no_delay("/stream/", BabbleAt::KnownEvents(3));
}

#[test]
fn events_without_id_delay_no_other_caller() {
    // Guards against handling events without id at the cost of all other callers.
    assert_no_delay("/stream/", BabbleAt::EventsWithoutId(3));
}
