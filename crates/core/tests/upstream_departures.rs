//! Upstreams that state that they are about to stop.

mod scheduler_world;

use {
    jasmine_core::{
        ids::UpstreamId,
        scheduler::{AttemptHistory, StatedUpstream, UpstreamSignals, UpstreamStatus},
    },
    scheduler_world::{CALLS, World, attempt_id, call, upstream},
};

const UPSTREAM: UpstreamId = UpstreamId(1);

const LEAVING: UpstreamSignals = UpstreamSignals {
    request_limit: None,
    rest: None,
    is_leaving: true,
    max_rejections: None,
    load: None,
};

fn server(started: u64) -> UpstreamStatus {
    UpstreamStatus {
        service: CALLS,
        started_unix_ms: Some(started),
        ..upstream(None)
    }
}

/// Whether a call is sent now.
fn is_used(world: &mut World) -> bool {
    let number = world.place(call(world.now));
    world.sent_to(number).is_some()
}

#[test]
fn a_departure_outlasts_its_entry_and_ends_with_the_run() {
    // Guards against a heartbeat, or an entry that lapses and returns, that hides a departure.
    let mut world = World::leading(0);
    world.set(UPSTREAM, &server(1));
    let number = world.place(call(world.now));
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.note_signals(attempt_id(number), &LEAVING, now);
    assert!(!is_used(&mut world));
    world.set(UPSTREAM, &server(1));
    assert!(!is_used(&mut world));
    world.scheduler.remove_upstream(UPSTREAM, world.now);
    world.set(UPSTREAM, &server(1));
    assert!(!is_used(&mut world));
    assert!(world.scheduler.is_unusable(UPSTREAM, world.now));
    world.set(UPSTREAM, &server(2));
    assert!(is_used(&mut world));
}

#[test]
fn a_new_scheduler_is_told_of_a_departure() {
    // Guards against a scheduler that uses an upstream which has stated its departure to others.
    let mut world = World::leading(0);
    world.set(UPSTREAM, &server(1));
    let history = AttemptHistory {
        stated: vec![StatedUpstream {
            upstream: UPSTREAM,
            started_unix_ms: Some(1),
            signals: LEAVING,
            sent_ago: Vec::new(),
            base_pace: None,
        }],
        ..AttemptHistory::default()
    };
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(9, 7, &history, now);
    assert!(!is_used(&mut world));
    // The VM still tells of the earlier run.
    world.set(UPSTREAM, &server(2));
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(10, 8, &history, now);
    assert!(is_used(&mut world));
    world.set(UPSTREAM, &server(1));
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(11, 9, &history, now);
    let told = world.scheduler.attempt_history(now).stated;
    assert_eq!(told, history.stated);
}

#[test]
fn a_late_response_of_an_earlier_run_changes_nothing() {
    // Guards against a restarted upstream that is never used, as its earlier run was leaving.
    let mut world = World::leading(0);
    world.set(UPSTREAM, &server(1));
    let number = world.place(call(world.now));
    world.advance(100);
    world.set(UPSTREAM, &server(2));
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.note_signals(attempt_id(number), &LEAVING, now);
    assert!(is_used(&mut world));
}
