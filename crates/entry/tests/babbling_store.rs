//! A store whose bytes never become an answer, or whose answers never end.

mod deployment;

use {
    deployment::{Vm, call_through, start_platform},
    jasmine_core::clock::Millis,
    jasmine_entry::store::KvStore,
    jasmine_platform_stand_in::{Babble, BabbleAt, KvCall, Pace},
    jasmine_store::store::{Range, Store},
    serde_json::json,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// How long a call without end is awaited.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// How long callers may wait for an answer beside a babbling store.
const MAX_LATENCY: Duration = Duration::from_millis(500);
/// How long the store babbles in a call of each kind.
const BABBLE_TIME: Duration = Duration::from_secs(2);

/// Serves pages without end, of one key each, which `key` names by number.
fn start_endless_pages<F>(
    key: F,
    value_len: usize,
) -> SocketAddr
where
    F: Fn(u32) -> String + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut page = 0;
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            while matches!(stream.read(&mut [0; 4096]), Ok(n) if n > 0) {
                page += 1;
                let item = json!({"key": key(page), "value": "A".repeat(value_len), "revision": 1,
                    "create_rev": 1, "lease": 0});
                let body = json!({"as_of": 1, "items": [item], "has_more": true}).to_string();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                drop(stream.write_all((head + &body).as_bytes()));
            }
        }
    });
    address
}

/// Whether a read of all keys fails, rather than read on.
fn is_refused(address: SocketAddr) -> bool {
    actix_rt::System::new().block_on(async {
        let store = KvStore::new(address, Millis(100));
        let read = timeout(MAX_WAIT, store.range(Range::key(""))).await;
        matches!(read, Ok(Err(_)))
    })
}

#[test]
fn pages_without_progress_are_refused() {
    // Guards against a read of a range that never ends, as each page has the same key.
    assert!(is_refused(start_endless_pages(|_| "a".to_owned(), 4)));
}

#[test]
fn pages_without_end_are_refused() {
    // Guards against a range that takes the memory of the daemon.
    assert!(is_refused(start_endless_pages(
        |page| format!("k{page:08}"),
        1 << 20
    )));
}

#[test]
fn callers_are_served_beside_a_babbling_store() {
    // Guards against bytes of the store that hold up the callers of a VM.
    let (store, _upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for (call, at) in [
        (KvCall::Watch, BabbleAt::BodyUntilClose),
        (KvCall::Watch, BabbleAt::HeaderLines),
        (KvCall::Lease, BabbleAt::InterimResponses),
        (KvCall::Read, BabbleAt::LongBody),
    ] {
        let pace = Pace::FULL;
        store.set_babble(call, Some(Babble { at, pace }));
        let until = Instant::now() + BABBLE_TIME;
        let mut longest = Duration::ZERO;
        while Instant::now() < until {
            let sent_at = Instant::now();
            let response = vm.send_request(&call_through(&vm));
            longest = longest.max(sent_at.elapsed());
            assert_eq!(response.status, 200, "{call:?} {at:?}: {response:?}");
        }
        println!("{call:?} {at:?}: {longest:?}");
        assert!(longest < MAX_LATENCY, "{call:?} {at:?}: {longest:?}");
        store.set_babble(call, None);
    }
}
