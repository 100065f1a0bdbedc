//! What bytes without end of one server cost the callers of others.

mod deployment;

use {
    deployment::{Request, Vm, start_platform},
    jasmine_platform_stand_in::{Babble, BabbleAt, Behaviour, Pace},
    std::{
        io::{ErrorKind, Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
};

/// How long the answer to a request that needs no upstream may take beside babbling ones.
const MAX_LATENCY: Duration = Duration::from_secs(1);
/// Pause between two such requests.
const INTERVAL: Duration = Duration::from_millis(10);
/// How long a response may take, well beyond its deadline.
const MAX_STREAM_TIME: Duration = Duration::from_secs(4);
/// Requests at once that the babbling upstream gets.
const BABBLING: usize = 3;

/// The longest time of an answer that needs no upstream while a babbling one has requests.
fn longest_wait(
    vm: &Vm,
    request: &Request,
) -> Duration {
    thread::scope(|scope| {
        let babbling: Vec<_> = (0..BABBLING)
            .map(|_| scope.spawn(|| vm.send_request(request)))
            .collect();
        let mut longest = Duration::ZERO;
        while !babbling.iter().all(thread::ScopedJoinHandle::is_finished) {
            let sent_at = Instant::now();
            let response = vm.send_request(&Request::new("GET", "/unknown/"));
            assert_eq!(response.status, 404);
            longest = longest.max(sent_at.elapsed());
            thread::sleep(INTERVAL);
        }
        longest
    })
}

fn assert_no_wait(
    path: &str,
    places: &[BabbleAt],
) {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for &at in places {
        let pace = Pace::FULL;
        upstreams[0].set_default(Behaviour::Babble(Babble { at, pace }));
        let request = Request::new("GET", path).with("X-Deadline-Ms", "1500");
        let longest = longest_wait(&vm, &request);
        println!("{path} {at:?}: {longest:?}");
        assert!(longest < MAX_LATENCY, "{path} {at:?}: {longest:?}");
    }
}

#[test]
fn babbling_heads_delay_nobody() {
    // Guards against heads without end that take the thread of all callers.
    assert_no_wait(
        "/read/",
        &[
            BabbleAt::HeaderLine,
            BabbleAt::HeaderLines,
            BabbleAt::InterimResponses,
            BabbleAt::OtherResponses,
        ],
    );
}

#[test]
fn babbling_bodies_delay_nobody() {
    // Guards against bodies without end that take the thread of all callers.
    assert_no_wait(
        "/read/",
        &[
            BabbleAt::OtherBody,
            BabbleAt::FailureBody,
            BabbleAt::RefusalBody,
            BabbleAt::LongBody,
            BabbleAt::AfterAnswer,
        ],
    );
}

#[test]
fn babbling_streams_delay_nobody() {
    // Guards against an event, or a chunk, without end that takes the thread of all callers.
    assert_no_wait(
        "/stream/",
        &[
            BabbleAt::Event(1),
            BabbleAt::ChunkSize(1),
            BabbleAt::ChunkExtensions(1),
            BabbleAt::Trailers(1),
            BabbleAt::BodyUntilClose,
        ],
    );
}

/// The time until a response ends whose caller reads all of it; none if it doesn't within [`MAX_STREAM_TIME`].
fn stream_time(
    vm: &Vm,
    request: &Request,
) -> Option<Duration> {
    let mut caller = TcpStream::connect(vm.callers).unwrap();
    caller.set_read_timeout(Some(MAX_STREAM_TIME)).unwrap();
    caller.write_all(&request.bytes()).unwrap();
    let sent_at = Instant::now();
    let mut buf = vec![0; 64 << 10];
    while sent_at.elapsed() < MAX_STREAM_TIME {
        match caller.read(&mut buf) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return None,
            // The end of the response ends the connection, also by a reset.
            _ => return Some(sent_at.elapsed()),
        }
    }
    None
}

#[test]
fn endless_events_end_in_time() {
    // Guards against events without end and without content, which no deadline ends as more of them are always ready.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let places = [
        BabbleAt::Comments(1),
        BabbleAt::KnownEvents(1),
        BabbleAt::EventsWithoutId(1),
    ];
    let times = places.map(|at| {
        let pace = Pace::FULL;
        upstreams[0].set_default(Behaviour::Babble(Babble { at, pace }));
        let request = Request::new("GET", "/stream/")
            .with("X-Deadline-Ms", "1500")
            .with("Connection", "close");
        (at, stream_time(&vm, &request))
    });
    assert!(times.iter().all(|(_, time)| time.is_some()), "{times:?}");
}
