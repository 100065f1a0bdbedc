//! Upstream responses that are duplicate, early, unframed or missing.

mod deployment;

use {
    deployment::{Request, Vm, config, start_platform},
    jasmine_platform_stand_in::Behaviour,
    serde_json::json,
    std::{thread, time::Duration},
};

#[test]
fn a_duplicate_response_is_not_forwarded() {
    // Guards against a duplicate response on a reused connection being forwarded to the next caller.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::DuplicateResponse);
    assert_eq!(
        vm.send_request(&Request::new("GET", "/read/")).text(),
        "first"
    );
    thread::sleep(Duration::from_millis(50));
    assert_eq!(vm.send_request(&Request::new("GET", "/read/")).text(), "ok");
}

#[test]
fn surplus_bytes_fail_no_later_request() {
    // Guards against a reused connection on which bytes are left that are no answer.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    // With the answer, or after it was read.
    for delay in [Duration::ZERO, Duration::from_millis(20)] {
        upstreams[0].next(Behaviour::Surplus(b"no answer\r\n".to_vec(), delay));
        for _ in 0..2 {
            let write = Request::new("POST", "/write/").body(b"enrol");
            assert_eq!(vm.send_request(&write).text(), "ok", "{delay:?}");
            thread::sleep(Duration::from_millis(60));
        }
    }
}

#[test]
fn a_response_without_a_length_is_forwarded() {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Unframed(b"to the end".to_vec()));
    let response = vm.send_request(&Request::new("GET", "/read/"));
    assert_eq!(
        (response.text().as_str(), response.is_complete),
        ("to the end", true)
    );
}

#[test]
fn an_early_response_does_not_corrupt_later_requests() {
    // Guards against reusing a connection on which the upstream still expects the rest of a body.
    let (store, upstreams) = start_platform(&["s-1"]);
    let mut config = config(2);
    config["limits"]["max_body_bytes"] = json!(12_000_000);
    store.put("op/config", &config);
    let vm = Vm::start(&store);
    // The shorter body fits into the buffers of the connection, the longer one doesn't.
    for len in [60_000, 8_000_000] {
        upstreams[0].next(Behaviour::Early);
        let long = Request::new("POST", "/write/").body(&vec![b'x'; len]);
        assert_eq!(vm.send_request(&long).text(), "early");
        for _ in 0..3 {
            let next = Request::new("POST", "/write/").body(b"next");
            assert_eq!(vm.send_request(&next).text(), "ok", "after {len} bytes");
        }
        let last = upstreams[0].executed().pop().unwrap();
        assert_eq!(last.body, b"next");
    }
}

#[test]
fn a_caller_disconnect_cancels_the_request() {
    // Guards against an upstream working on after the caller has disconnected.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Hang);
    let mut stream = std::net::TcpStream::connect(vm.callers).unwrap();
    let request = Request::new("POST", "/write/").body(b"enrol");
    std::io::Write::write_all(&mut stream, &request.bytes()).unwrap();
    deployment::wait_until("the request runs", || upstreams[0].executed().len() == 1);
    drop(stream);
    let left = std::time::Instant::now();
    deployment::wait_until("the request is cancelled", || upstreams[0].cancelled() == 1);
    assert!(
        left.elapsed() < Duration::from_millis(500),
        "{:?}",
        left.elapsed()
    );
}

#[test]
fn a_timeout_is_reported_as_an_unknown_outcome() {
    // Guards against reporting a request as not run, or late, when its upstream never responds.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Hang);
    let request = Request::new("POST", "/write/")
        .with("X-Deadline-Ms", "700")
        .body(b"enrol");
    let began = std::time::Instant::now();
    assert_eq!(vm.send_request(&request).status, 504);
    assert!(began.elapsed() < Duration::from_millis(1_200));
}
