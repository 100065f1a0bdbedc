//! Upstreams that turn a VM away and want rest from it.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::UpstreamId,
        scheduler::{AttemptHistory, AttemptId, Outcome, StatedUpstream, UpstreamSignals},
    },
    scheduler_world::{Decision, World, attempt_id, call, upstream},
};

const FIRST: UpstreamId = UpstreamId(1);
const SECOND: UpstreamId = UpstreamId(2);
const REST: Millis = Millis(3_000);

const REST_WANTED: UpstreamSignals = UpstreamSignals {
    request_limit: None,
    rest: Some(REST),
    is_leaving: false,
    max_rejections: None,
    load: None,
};

/// Sends a call that an upstream turns away; returns that upstream.
fn turn_away(world: &mut World) -> UpstreamId {
    let number = world.place(call(world.now));
    let upstream = world.sent_to(number).expect("it is sent");
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.note_signals(attempt_id(number), &REST_WANTED, now);
    world.end(number, Outcome::Shed);
    upstream
}

/// Sends a call of another VM; returns its upstream.
fn call_of_other_vm(world: &mut World) -> Option<UpstreamId> {
    const NUMBER: u64 = 1_000_000;
    let attempt_id = AttemptId {
        vm: 7,
        number: NUMBER,
    };
    let actions = world
        .scheduler
        .place(attempt_id, call(world.now), world.now);
    world.apply(actions);
    world.sent_to(NUMBER)
}

#[test]
fn only_the_vm_that_was_turned_away_leaves_it_its_rest() {
    // Guards against requests to an upstream in its rest, and against one that is lost for VMs that
    // it takes requests from.
    let mut world = World::leading(0);
    world.add_server(FIRST);
    assert_eq!(turn_away(&mut world), FIRST);
    assert_eq!(call_of_other_vm(&mut world), Some(FIRST));
    world.add_server(SECOND);
    for _ in 0..4 {
        let number = world.place(call(world.now));
        assert_eq!(world.sent_to(number), Some(SECOND));
    }
    world.advance(REST.0);
    let numbers: Vec<u64> = (0..12).map(|_| world.place(call(world.now))).collect();
    assert!(
        numbers
            .iter()
            .any(|&number| world.sent_to(number) == Some(FIRST))
    );
}

#[test]
fn queued_requests_are_refused_with_the_end_of_the_rest() {
    // Guards against queued callers that wait in vain for the end of a rest.
    let mut world = World::leading(0);
    world.add_server(FIRST);
    let queued: Vec<u64> = (0..9).map(|_| world.place(call(world.now))).collect();
    let waiting = *queued.last().unwrap();
    assert_eq!(world.decision(waiting), None);
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.note_signals(attempt_id(queued[0]), &REST_WANTED, now);
    world.end(queued[0], Outcome::Shed);
    let Some(Decision::Refused(refusal)) = world.decision(waiting) else {
        panic!("{:?}", world.decision(waiting));
    };
    assert_eq!(refusal.kind, ErrorKind::CannotMeetDeadline);
    assert_eq!(refusal.retry_after, Some(REST));
    let patient = jasmine_core::scheduler::Job {
        deadline: world.now + REST + Millis(1_000),
        ..call(world.now)
    };
    let patient = world.place(patient);
    for &number in &queued {
        world.end(number, Outcome::Shed);
    }
    world.advance(REST.0);
    assert_eq!(world.sent_to(patient), Some(FIRST));
}

#[test]
fn a_rest_is_told_to_a_new_scheduler_and_outlasts_a_lapsed_entry() {
    // Guards against a rest that ends early because another VM leads or an entry lapsed.
    let mut world = World::leading(0);
    world.add_server(FIRST);
    let history = AttemptHistory {
        stated: vec![StatedUpstream {
            upstream: FIRST,
            started_unix_ms: Some(1),
            signals: REST_WANTED,
            sent_ago: Vec::new(),
            base_pace: None,
        }],
        ..AttemptHistory::default()
    };
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(9, 7, &history, now);
    assert_eq!(call_of_other_vm(&mut world), None);
    world.scheduler.remove_upstream(FIRST, world.now);
    world.add_server(FIRST);
    assert_eq!(call_of_other_vm(&mut world), None);
    let restarted = jasmine_core::scheduler::UpstreamStatus {
        service: scheduler_world::CALLS,
        started_unix_ms: Some(2),
        ..upstream(None)
    };
    world.set(FIRST, &restarted);
    assert_eq!(call_of_other_vm(&mut world), Some(FIRST));
}
