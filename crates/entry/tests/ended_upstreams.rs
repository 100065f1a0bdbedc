//! Requests under which each upstream ends that takes them, sent again by their callers under other ids.

mod deployment;

use {
    deployment::{
        Request,
        ending_site::{DEADLY, Kind, MAX_ENDS, Site},
    },
    jasmine_platform_stand_in::EndAt,
    std::{thread, time::Duration},
};

/// A request under which upstreams end at this point, beside sound ones: it isn't sent again after the third.
fn assert_contained(
    kind: Kind,
    at: EndAt,
    name: &str,
) {
    assert_request_contained(kind, at, name, &kind.request(DEADLY));
}

fn assert_request_contained(
    kind: Kind,
    at: EndAt,
    name: &str,
    request: &Request,
) {
    let site = Site::start(kind, at, name);
    let time = Duration::from_secs(9);
    let (ids, sound) = thread::scope(|scope| {
        let sound = scope.spawn(|| site.call_all(kind, time));
        (site.repeat(request, time), sound.join().unwrap())
    });
    let (late, ends) = (site.late_sends(&ids), site.ends().len());
    let served = sound.iter().filter(|(_, is_served)| *is_served).count();
    println!(
        "{name}: {ends} ends, {late} late of {} attempts, {served} of {} sound",
        ids.len(),
        sound.len()
    );
    assert_eq!(late, 0, "sent after {MAX_ENDS} ends; {ends} ended");
}

#[test]
fn calls_end_few_upstreams_before_a_head() {
    // Guards against a request that its caller repeats under other ids, and under which each upstream ends.
    assert_contained(Kind::Call, EndAt::Head, "call-head");
}

#[test]
fn calls_end_few_upstreams_in_a_body() {
    // Guards against the same in the middle of an answer with a length.
    assert_contained(Kind::Call, EndAt::Body, "call-body");
}

#[test]
fn calls_that_run_once_end_few_upstreams() {
    // Guards against the same where only the caller repeats the request.
    assert_contained(Kind::Write, EndAt::Head, "write-head");
}

#[test]
fn resumptions_end_few_upstreams() {
    // Guards against the same in attempts of a caller that names its last event.
    assert_contained(Kind::Resumption, EndAt::Events(2), "resumption-events");
}

#[test]
fn streams_end_few_upstreams_after_events() {
    // Guards against the same in streams that other upstreams go on with.
    assert_contained(Kind::Stream, EndAt::Events(2), "stream-events");
}

#[test]
fn streams_end_few_upstreams_late() {
    // Guards against the same long after the begin of an answer.
    let late = EndAt::Late(Duration::from_millis(1_200));
    assert_contained(Kind::Stream, late, "stream-late");
}

#[test]
fn patient_streams_end_few_upstreams_late() {
    // Guards against the same where both runs of an attempt end well before its deadline.
    let late = EndAt::Late(Duration::from_millis(1_200));
    let request = Kind::Stream.request(DEADLY).with("X-Deadline-Ms", "4500");
    assert_request_contained(Kind::Stream, late, "patient-late", &request);
}

#[test]
fn generations_end_few_engines_before_a_head() {
    // Guards against the same at engines, which show nothing of the prompt.
    assert_contained(Kind::Generation, EndAt::Head, "model-head");
}

#[test]
fn generations_end_few_engines_late() {
    // Guards against the same where the begin of the answer acquits the prompt's parts.
    let late = EndAt::Late(Duration::from_millis(1_200));
    assert_contained(Kind::Generation, late, "model-late");
}
