//! Streams that are truncated or stall, and their resumption at another upstream.

mod deployment;

use {
    deployment::{Request, Vm, count_runs, start_platform},
    jasmine_platform_stand_in::Behaviour,
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
