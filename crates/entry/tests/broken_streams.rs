//! Streams that are truncated or stall, and their resumption at another upstream.

mod deployment;

use {
    deployment::{Request, Vm, platform, runs_of},
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
fn a_cut_stream_goes_on_elsewhere() {
    // Guards against lost or duplicate events when a stream is truncated or stalls and another upstream resumes it.
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for broken in [Behaviour::CutAfter(3), Behaviour::SilentAfter(3)] {
        for upstream in &upstreams {
            upstream.set_default(Behaviour::Events(8));
        }
        upstreams[0].next(broken.clone());
        upstreams[1].next(broken.clone());
        let request = Request::new("POST", "/stream/").body(b"prompt");
        let first = vm.ask(&request);
        // Each upstream breaks one stream, so one of the two requests may find both of them broken.
        let again = vm.ask(&Request::new("POST", "/stream/").body(b"prompt"));
        let whole = [&first, &again].into_iter().find(|answer| answer.is_whole);
        let whole = whole.unwrap_or_else(|| panic!("{broken:?}: {first:?} {again:?}"));
        assert_eq!(whole.text(), events(1..=8), "{broken:?}");
        assert!(runs_of(&upstreams, request.id()) <= 2, "{broken:?}");
    }
}

#[test]
fn what_is_resumed_names_the_last_event() {
    let (store, upstreams) = platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::CutAfter(2));
    upstreams[0].next(Behaviour::Events(4));
    let answer = vm.ask(&Request::new("POST", "/stream/").body(b"prompt"));
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.text(), events(1..=4));
    let resumed = upstreams[0].executed().remove(1);
    assert_eq!(
        resumed.headers.get("last-event-id").map(String::as_str),
        Some("2")
    );
    assert_eq!(resumed.body, b"prompt");
}

#[test]
fn a_callers_own_place_is_kept() {
    // Guards against losing the caller's own `Last-Event-Id` when it resumes a stream.
    let (store, upstreams) = platform(&["s-1"]);
    let vm = Vm::start(&store);
    upstreams[0].next(Behaviour::Events(6));
    let request = Request::new("POST", "/stream/")
        .with("Last-Event-Id", "4")
        .body(b"prompt");
    assert_eq!(vm.ask(&request).text(), events(5..=6));
}

#[test]
fn a_stream_that_cannot_go_on_looks_broken() {
    // Guards against ending a truncated stream like a complete one if it can't be resumed.
    let (store, upstreams) = platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    for upstream in &upstreams {
        upstream.set_default(Behaviour::CutAfter(3));
    }
    let request = Request::new("POST", "/once/").body(b"prompt");
    let answer = vm.ask(&request);
    assert!(!answer.is_whole);
    assert_eq!(answer.text(), events(1..=3), "whole events only");
    assert_eq!(runs_of(&upstreams, request.id()), 1);
}
