//! Streams that are truncated or stall, and their resumption at another upstream.

mod deployment;

use {
    deployment::{Request, Vm, count_runs, start_platform},
    jasmine_platform_stand_in::{
        Behaviour::{self, Stream},
        StreamEnd::{Complete, Cut, InsideEvent, Reset},
        StreamFraming::{Chunked, Length, UntilClose},
    },
    std::{
        io::{ErrorKind, Read, Write},
        net::TcpStream,
    },
};

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    let mut text = String::new();
    for id in ids {
        let id = id.to_string();
        text.extend(["id: ", &id, "\ndata: piece-", &id, "\n\n"]);
    }
    text
}

#[test]
fn an_interrupted_stream_resumes_at_another_upstream() {
    // Guards against lost or duplicate events when a stream is truncated or stalls and another upstream resumes it.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for broken in [Behaviour::CutAfter(3), Behaviour::SilentAfter(3)] {
        for upstream in &upstreams {
            upstream.set_default(Behaviour::Events(8));
        }
        upstreams[0].next(broken.clone());
        upstreams[1].next(broken.clone());
        let request = Request::new("POST", "/stream/").body(b"prompt");
        let first = vm.send_request(&request);
        // Each upstream breaks one stream, so one of the two requests may find both of them broken.
        let again = vm.send_request(&Request::new("POST", "/stream/").body(b"prompt"));
        let whole = [&first, &again]
            .into_iter()
            .find(|response| response.is_complete);
        let whole = whole.unwrap_or_else(|| panic!("{broken:?}: {first:?} {again:?}"));
        assert_eq!(whole.text(), events(1..=8), "{broken:?}");
        assert!(count_runs(&upstreams, request.id()) <= 2, "{broken:?}");
    }
}

#[test]
fn a_resumed_request_names_the_last_event() {
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::CutAfter(2));
    upstreams[0].next(Behaviour::Events(4));
    let response = vm.send_request(&Request::new("POST", "/stream/").body(b"prompt"));
    assert!(response.is_complete, "{response:?}");
    assert_eq!(response.text(), events(1..=4));
    let resumed = upstreams[0].executed().remove(1);
    assert_eq!(
        resumed.headers.get("last-event-id").map(String::as_str),
        Some("2")
    );
    assert_eq!(resumed.body, b"prompt");
}

#[test]
fn a_callers_last_event_id_is_forwarded() {
    // Guards against losing the caller's own `Last-Event-Id` when it resumes a stream.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Events(6));
    let request = Request::new("POST", "/stream/")
        .with("Last-Event-Id", "4")
        .body(b"prompt");
    assert_eq!(vm.send_request(&request).text(), events(5..=6));
}

#[test]
fn a_stream_that_cannot_resume_ends_incomplete() {
    // Guards against ending a truncated stream like a complete one if it can't be resumed.
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::CutAfter(3));
    }
    let request = Request::new("POST", "/once/").body(b"prompt");
    let response = vm.send_request(&request);
    assert!(!response.is_complete);
    assert_eq!(response.text(), events(1..=3), "whole events only");
    assert_eq!(count_runs(&upstreams, request.id()), 1);
}

#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete() {
    // Guards against passing on a crashed run's stream as a whole answer.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for (framing, end) in [
        (UntilClose, InsideEvent),
        (Chunked, InsideEvent),
        (Length, InsideEvent),
        (Length, Cut),
        (UntilClose, Reset),
    ] {
        upstreams[0].next(Stream(3, framing, end));
        let response = vm.send_request(&Request::new("POST", "/once/").body(b"prompt"));
        assert!(!response.is_complete, "{framing:?} {end:?}: {response:?}");
        assert_eq!(response.text(), events(1..=3), "{framing:?} {end:?}");
    }
}

#[test]
fn a_stream_that_ends_inside_an_event_is_resumed() {
    // Guards against giving up the rest of a stream that another run can add.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for (framing, end) in [
        (UntilClose, InsideEvent),
        (Chunked, InsideEvent),
        (Length, InsideEvent),
        (UntilClose, Reset),
    ] {
        upstreams[0].next(Stream(2, framing, end));
        upstreams[0].next(Stream(4, framing, Complete));
        let response = vm.send_request(&Request::new("POST", "/stream/").body(b"prompt"));
        assert!(response.is_complete, "{framing:?} {end:?}: {response:?}");
        assert_eq!(response.text(), events(1..=4), "{framing:?} {end:?}");
    }
}

#[test]
fn a_stream_without_framing_or_events_is_not_complete() {
    // Guards against taking a connection that closes after the head for an answer.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Stream(0, UntilClose, Complete));
    let response = vm.send_request(&Request::new("POST", "/once/").body(b"prompt"));
    assert_eq!(response.status, 502, "{response:?}");
}

#[test]
fn an_http_1_0_caller_sees_a_broken_stream_as_a_reset() {
    // Guards against a broken stream that looks complete where the end of the connection ends the body.
    let (store, upstreams) = start_platform(&["s-1"]);
    let vm = Vm::start(&store);
    for (end, is_whole) in [(Complete, true), (InsideEvent, false), (Cut, false)] {
        upstreams[0].next(Stream(3, Chunked, end));
        let request = Request::new("POST", "/once/").body(b"prompt").bytes();
        let request = String::from_utf8(request).unwrap();
        let request = request.replace(" HTTP/1.1", " HTTP/1.0");
        let mut stream = TcpStream::connect(vm.callers).unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let read = stream.read_to_end(&mut Vec::new());
        let is_reset = matches!(&read, Err(e) if e.kind() == ErrorKind::ConnectionReset);
        assert_eq!(read.is_ok(), is_whole, "{end:?}: {read:?}");
        assert_eq!(is_reset, !is_whole, "{end:?}: {read:?}");
    }
}
