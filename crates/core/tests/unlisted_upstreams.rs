//! What upstreams state to a VM that has no entry of them: it has just started, or the entry lapsed.

mod deciding_vms;
mod scheduler_world;

use {
    deciding_vms::flood,
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{
            AdmissionShare, AttemptHistory, SignalChanges, StatedUpstream, UpstreamSignals,
            UpstreamStatus,
        },
    },
    scheduler_world::{CALLS, World, call, upstream},
};

const UPSTREAM: UpstreamId = UpstreamId(1);
const ONLY_SCHEDULER: AdmissionShare = AdmissionShare::Scheduler {
    took_over_at: None,
    lease_until: Millis(u64::MAX),
};

fn server(started: u64) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: 77,
        service: CALLS,
        slots: 100,
        started_unix_ms: Some(started),
        ..upstream(None)
    }
}

fn new_world() -> World {
    let mut world = World::leading(0);
    world.scheduler.set_admission_share(ONLY_SCHEDULER);
    world
}

/// Passes on a response of the upstream to a request that was sent just before.
fn state(
    world: &mut World,
    signals: &UpstreamSignals,
) -> SignalChanges {
    let now = world.now;
    world
        .scheduler
        .note_own_signals(UPSTREAM, signals, now, now)
}

fn limit(per_second: f64) -> UpstreamSignals {
    UpstreamSignals {
        request_limit: Some(per_second),
        ..UpstreamSignals::default()
    }
}

fn leaving() -> UpstreamSignals {
    UpstreamSignals {
        is_leaving: true,
        ..UpstreamSignals::default()
    }
}

fn is_used(world: &mut World) -> bool {
    let number = world.place(call(world.now));
    world.sent_to(number).is_some()
}

#[test]
fn a_limit_holds_when_the_entry_comes() {
    // Guards against a VM that has just started, is elected and sends more than an upstream takes.
    let mut world = new_world();
    assert_eq!(
        state(&mut world, &limit(1.0)).request_limit,
        Some(Some(1.0))
    );
    assert_eq!(state(&mut world, &limit(1.0)).request_limit, None);
    world.set(UPSTREAM, &server(1));
    let sent = flood(&mut world, 8_000).len();
    assert!((4..=9).contains(&sent), "{sent}");
}

#[test]
fn a_departure_holds_without_an_entry() {
    // Guards against requests that a leader assigns to an upstream which has told this VM that it leaves.
    let mut world = new_world();
    assert!(state(&mut world, &leaving()).is_leaving);
    assert!(world.scheduler.is_unusable(UPSTREAM, world.now));
    world.set(UPSTREAM, &server(1));
    assert!(world.scheduler.is_unusable(UPSTREAM, world.now));
    assert!(!is_used(&mut world));
    world.set(UPSTREAM, &server(2));
    assert!(is_used(&mut world));
}

#[test]
fn a_departure_is_forgotten_if_no_entry_comes() {
    // Guards against an upstream that starts again under its id and is never used.
    let mut world = new_world();
    state(&mut world, &leaving());
    world.advance(60_000);
    assert!(!world.scheduler.is_unusable(UPSTREAM, world.now));
    world.set(UPSTREAM, &server(2));
    assert!(is_used(&mut world));
}

#[test]
fn a_rest_holds_without_an_entry() {
    let mut world = new_world();
    let signals = UpstreamSignals {
        rest: Some(Millis(2_000)),
        ..UpstreamSignals::default()
    };
    state(&mut world, &signals);
    assert!(world.scheduler.is_unusable(UPSTREAM, world.now));
    world.advance(1_000);
    world.set(UPSTREAM, &server(1));
    assert!(world.scheduler.is_unusable(UPSTREAM, world.now));
    world.advance(1_000);
    assert!(!world.scheduler.is_unusable(UPSTREAM, world.now));
}

#[test]
fn a_lapsed_entry_hides_no_statement() {
    // Guards against a response that arrives while the entry is gone, in an outage of the store.
    let mut world = new_world();
    world.set(UPSTREAM, &server(1));
    world.advance(100);
    world.scheduler.remove_upstream(UPSTREAM, world.now);
    state(&mut world, &leaving());
    world.set(UPSTREAM, &server(1));
    assert!(!is_used(&mut world));
}

#[test]
fn a_new_leader_keeps_what_it_is_told_until_it_reads_the_entry() {
    // Guards against a leader that has not read all upstreams and passes over what VMs tell it.
    let mut world = new_world();
    let history = |started| AttemptHistory {
        stated: vec![StatedUpstream {
            upstream: UPSTREAM,
            started_unix_ms: started,
            signals: leaving(),
            sent_ago: Vec::new(),
            base_pace: None,
        }],
        ..AttemptHistory::default()
    };
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(9, 7, &history(Some(1)), now);
    world.set(UPSTREAM, &server(1));
    assert!(!is_used(&mut world));
    // Another run than that which the VM tells of.
    let mut world = new_world();
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(9, 7, &history(Some(1)), now);
    world.set(UPSTREAM, &server(2));
    assert!(is_used(&mut world));
    // A VM without an entry doesn't know the run.
    let mut world = new_world();
    world.set(UPSTREAM, &server(1));
    let scheduler = &mut world.scheduler;
    scheduler.add_attempt_history(9, 7, &history(None), now);
    assert!(!is_used(&mut world));
}

#[test]
fn a_vm_tells_what_it_knows_without_an_entry() {
    // Guards against a statement that ends with the leader that assigned the request.
    let mut world = new_world();
    state(&mut world, &limit(2.0));
    let told = world.scheduler.attempt_history(world.now).stated;
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].signals, limit(2.0));
    assert_eq!(told[0].started_unix_ms, None);
}
