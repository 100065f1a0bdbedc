//! Requests with ambiguous framing, and oversized or slow ones.

mod deployment;

use deployment::{Request, Vm, start_platform};

/// Invalid requests, each with what is wrong with it.
fn bad_requests() -> Vec<(&'static str, Vec<u8>)> {
    let base = "POST /write/ HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: bad\r\nX-Api-Key: key-of-one\r\n";
    let hidden = "GET /write/hidden HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: hidden\r\nX-Api-Key: key-of-one\r\n\r\n";
    let with = |lines: &str, body: &str| format!("{base}{lines}\r\n{body}").into_bytes();
    vec![
        (
            "two lengths",
            with("Content-Length: 4\r\nContent-Length: 5\r\n", "abcd"),
        ),
        (
            "the same length twice",
            with("Content-Length: 4\r\nContent-Length: 4\r\n", "abcd"),
        ),
        (
            "a list of lengths",
            with("Content-Length: 4, 4\r\n", "abcd"),
        ),
        (
            "length and chunks",
            with(
                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                "0\r\n\r\n",
            ),
        ),
        (
            "chunks and length",
            with(
                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                hidden,
            ),
        ),
        (
            "two codings",
            with(
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                hidden,
            ),
        ),
        (
            "an unknown coding",
            with("Transfer-Encoding: xchunked\r\n", hidden),
        ),
        (
            "a list of codings",
            with("Transfer-Encoding: gzip, chunked\r\n", hidden),
        ),
        (
            "a trailer with a space in its name",
            with("Transfer-Encoding: chunked\r\n", "0\r\nX A: b\r\n\r\n"),
        ),
        (
            "a space before the colon of a trailer",
            with("Transfer-Encoding: chunked\r\n", "0\r\nX-A : b\r\n\r\n"),
        ),
        (
            "a control character in a chunk extension",
            with("Transfer-Encoding: chunked\r\n", "0;\x01\r\n\r\n"),
        ),
        ("a signed length", with("Content-Length: +4\r\n", "abcd")),
        ("a length in hex", with("Content-Length: 0x4\r\n", "abcd")),
        ("an empty length", with("Content-Length:\r\n", hidden)),
        (
            "a space before the colon",
            with("Content-Length : 4\r\n", "abcd"),
        ),
        ("a folded line", with("X-Long: a\r\n b\r\n", "")),
        (
            "a line feed alone",
            with("X-Bare: a\nContent-Length: 4\r\n", "abcd"),
        ),
        (
            "a carriage return alone",
            with("X-Bare: a\rContent-Length: 4\r\n", "abcd"),
        ),
        (
            "a bad chunk size",
            with("Transfer-Encoding: chunked\r\n", "zz\r\nab\r\n0\r\n\r\n"),
        ),
        (
            "a chunk longer than it says",
            with("Transfer-Encoding: chunked\r\n", "2\r\nabcd\r\n0\r\n\r\n"),
        ),
        (
            "chunks with bare line feeds",
            with("Transfer-Encoding: chunked\r\n", "2\nab\n0\n\n"),
        ),
        ("two hosts", with("Host: other.example\r\n", "")),
        (
            "an absolute target",
            b"GET http://app.example/read/ HTTP/1.1\r\nHost: app.example\r\n\r\n".to_vec(),
        ),
        (
            "no host",
            b"GET /read/ HTTP/1.1\r\nX-Request-Id: bad\r\n\r\n".to_vec(),
        ),
        ("no version", b"GET /read/\r\n\r\n".to_vec()),
        (
            "another protocol",
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec(),
        ),
    ]
}

#[test]
fn ambiguous_requests_are_refused() {
    // Guards against request smuggling: a body that an upstream takes for a second request bypasses the key check.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for (what, bytes) in bad_requests() {
        let response = vm.send_raw(&bytes);
        let status = response.as_ref().map(|response| response.status);
        assert_eq!(status, Some(400), "{what}: {response:?}");
        let closes = response.and_then(|response| response.header("connection"));
        assert_eq!(closes.as_deref(), Some("close"), "{what}");
    }
    assert_eq!(upstreams[0].executed(), [], "none of the requests ran");
    assert_eq!(vm.send_request(&Request::new("GET", "/read/")).status, 200);
}

#[test]
fn a_request_inside_a_body_is_not_executed() {
    // Guards against a body that looks like a request being taken for one.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let inner = Request::new("GET", "/write/inner").bytes();
    let outer = Request::new("GET", "/read/outer").body(&inner);
    assert_eq!(vm.send_request(&outer).status, 200);
    let ran = upstreams[0].executed();
    assert_eq!(ran.len(), 1);
    assert_eq!(
        (ran[0].target.as_str(), &ran[0].body),
        ("/read/outer", &inner)
    );
}

#[test]
fn oversized_and_slow_requests_are_refused() {
    // Guards against callers that occupy memory or connections with oversized or very slow requests.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    let long = Request::new("GET", "/read/").with("X-Long", &"a".repeat(5_000));
    assert_eq!(vm.send_request(&long).status, 431);
    let big = Request::new("POST", "/write/").body(&vec![b'a'; 70_000]);
    assert_eq!(vm.send_request(&big).status, 413);
    let slow = vm.send_raw(b"GET /read/ HTTP/1.1\r\nHost: app").unwrap();
    assert_eq!(slow.status, 408);
    assert_eq!(upstreams[0].executed(), []);
}
