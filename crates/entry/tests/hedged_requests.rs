//! A sound upstream that falls silent, beside one in trouble: the answer of the sound one reaches its caller.

mod deployment;

use {
    deployment::{Request, Response, Vm, count_runs, start_platform},
    jasmine_platform_stand_in::{Behaviour, UpstreamStandIn},
    std::time::Duration,
};

/// Longer than any time after which another upstream is sought, well within the deadline of the requests.
const SILENCE: Duration = Duration::from_secs(2);
const EVENTS: u64 = 8;
/// Most upstreams that an attempt of a caller may reach.
const ATTEMPTS: usize = 2;
/// Requests sent one after the other: each leaves its traces in the health of the upstreams.
const REQUESTS: usize = 4;

/// Sends requests to a VM whose upstreams behave like this; returns the responses.
fn responses_beside<R>(
    silent: &Behaviour,
    other: &Behaviour,
    request: R,
) -> Vec<Response>
where
    R: Fn() -> Request,
{
    let (store, upstreams) = start_platform(&["s-1", "s-2"]);
    let vm = Vm::start(&store);
    upstreams[0].set_default(silent.clone());
    upstreams[1].set_default(other.clone());
    let send = |_| {
        let req = request();
        let response = vm.send_request(&req);
        assert_bounded_runs(&upstreams, &req);
        response
    };
    (0..REQUESTS).map(send).collect()
}

fn assert_bounded_runs(
    upstreams: &[UpstreamStandIn],
    req: &Request,
) {
    assert!(count_runs(upstreams, req.id()) <= ATTEMPTS);
}

fn assert_streams_are_whole(other: &Behaviour) {
    let silent = Behaviour::Pauses(EVENTS, SILENCE);
    let stream = || Request::new("POST", "/stream/").body(b"prompt");
    for response in responses_beside(&silent, other, stream) {
        let ids: Vec<u64> = response.events().iter().map(|event| event.id).collect();
        assert_eq!(
            (response.status, response.is_complete),
            (200, true),
            "{ids:?}"
        );
        assert!(ids.into_iter().eq(1..=EVENTS));
    }
}

fn assert_calls_are_answered(other: &Behaviour) {
    let silent = Behaviour::Slow(SILENCE);
    for response in responses_beside(&silent, other, || Request::new("GET", "/read/")) {
        assert_eq!((response.status, response.text()), (200, "slow".to_owned()));
    }
}

#[test]
fn streams_survive_a_full_upstream() {
    // Guards against giving a silent stream up for an upstream that turns it away.
    assert_streams_are_whole(&Behaviour::Shed);
}

#[test]
fn streams_survive_a_hung_upstream() {
    // Guards against giving a silent stream up for an upstream that accepts it and never answers.
    assert_streams_are_whole(&Behaviour::Hang);
}

#[test]
fn streams_survive_a_failing_upstream() {
    // Guards against giving a silent stream up for an upstream that fails it.
    assert_streams_are_whole(&Behaviour::Fail);
}

#[test]
fn streams_survive_a_resetting_upstream() {
    // Guards against giving a silent stream up for an upstream that resets its connection.
    assert_streams_are_whole(&Behaviour::Reset);
}

#[test]
fn streams_survive_unsealed_answers() {
    // Guards against giving a silent stream up for an upstream whose answer isn't the service's.
    assert_streams_are_whole(&Behaviour::Unsealed);
}

#[test]
fn streams_survive_two_silent_upstreams() {
    // Guards against giving a silent stream up for an upstream that is silent, too.
    assert_streams_are_whole(&Behaviour::Pauses(EVENTS, SILENCE));
}

#[test]
fn calls_survive_a_full_upstream() {
    // Guards against giving a silent call up for an upstream that turns it away.
    assert_calls_are_answered(&Behaviour::Shed);
}

#[test]
fn calls_survive_a_hung_upstream() {
    // Guards against giving a silent call up for an upstream that accepts it and never answers.
    assert_calls_are_answered(&Behaviour::Hang);
}

#[test]
fn calls_survive_a_failing_upstream() {
    // Guards against giving a silent call up for an upstream that fails it.
    assert_calls_are_answered(&Behaviour::Fail);
}

#[test]
fn calls_survive_a_resetting_upstream() {
    // Guards against giving a silent call up for an upstream that resets its connection.
    assert_calls_are_answered(&Behaviour::Reset);
}

#[test]
fn calls_survive_unsealed_answers() {
    // Guards against giving a silent call up for an upstream whose answer isn't the service's.
    assert_calls_are_answered(&Behaviour::Unsealed);
}
