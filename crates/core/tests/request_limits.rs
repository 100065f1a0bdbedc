//! Request limits that upstreams state: one bound over all VMs, whoever decides.

mod deciding_vms;
mod scheduler_world;

use {
    deciding_vms::{Histories, flood, most_in},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{AdmissionShare, Outcome, UpstreamSignals, UpstreamStatus},
    },
    scheduler_world::{CALLS, World, call, generation, upstream},
};

const UPSTREAM: UpstreamId = UpstreamId(1);
const OTHER: UpstreamId = UpstreamId(2);
/// The time in which requests are counted.
const WINDOW: Millis = Millis(4_000);

const ONLY_SCHEDULER: AdmissionShare = AdmissionShare::Scheduler {
    took_over_at: None,
    lease_until: Millis(u64::MAX),
};

const fn stated(per_second: f64) -> UpstreamSignals {
    UpstreamSignals {
        request_limit: Some(per_second),
        rest: None,
        is_leaving: false,
        max_rejections: None,
        load: None,
    }
}

/// Requests allowed in a window.
fn allowed(per_second: f64) -> usize {
    (per_second * 6.0 + 5.0) as usize
}

fn server(started: u64) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: 77,
        service: CALLS,
        slots: 100,
        started_unix_ms: Some(started),
        ..upstream(None)
    }
}

/// A leader before one upstream with this limit.
fn limited(per_second: f64) -> World {
    let mut world = World::leading(0);
    world.scheduler.set_admission_share(ONLY_SCHEDULER);
    world.set(UPSTREAM, &server(1));
    state(&mut world, stated(per_second));
    world
}

/// Passes on a response of the upstream to a request that was sent just before.
fn state(
    world: &mut World,
    signals: UpstreamSignals,
) {
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.note_own_signals(UPSTREAM, &signals, now, now);
}

#[test]
fn a_scheduler_sends_at_the_stated_rate() {
    // Guards against more requests than an upstream in need takes, and against far fewer.
    for per_second in [0.0, 0.25, 1.0, 2.5, 20.0] {
        let mut world = limited(per_second);
        let sent = flood(&mut world, 20_000);
        let most = most_in(WINDOW, &sent);
        let at_least = ((per_second * 20.0 * 0.8) as usize).max(4);
        assert!(
            most <= ((per_second * 4.0) as usize).max(1),
            "{per_second}: {most}"
        );
        assert!(sent.len() >= at_least, "{per_second}: {}", sent.len());
        let burst = most_in(Millis(1_000), &sent);
        assert!(
            burst <= (per_second.ceil() as usize).max(1),
            "{per_second}: {burst} in a second"
        );
    }
}

#[test]
fn every_history_of_takeovers_keeps_the_limit() {
    // Guards against an order of kills, suspensions, handovers and cuts, several within one window,
    // in which the parts of the deciding VMs add up to more than the limit.
    for per_second in [1.0, 8.0] {
        let prepare = |world: &mut World| {
            world.set(UPSTREAM, &server(1));
            state(world, stated(per_second));
        };
        let histories = Histories {
            depth: 3,
            pause: Millis(400),
            vms: 16,
            overlap: Millis(6_000),
            prepare: &prepare,
        };
        let mut served = 0;
        for (history, sent) in histories.play() {
            let most = most_in(WINDOW, &sent);
            let context = format!("limit {per_second}, history {history}");
            assert!(most <= allowed(per_second), "{context}: {most} requests");
            served += sent.len();
        }
        let count = histories.count();
        assert!(served > count * 3, "{served} in {count} histories");
    }
}

#[test]
fn only_a_later_response_ends_a_limit() {
    // Guards against a response that was overtaken and says nothing of a limit stated since.
    let mut world = limited(1.0);
    let before = Millis(world.now.0 - 1);
    world.advance(100);
    let (scheduler, now) = (&mut world.scheduler, world.now);
    let none = UpstreamSignals::default();
    let changes = scheduler.note_own_signals(UPSTREAM, &none, before, now);
    assert_eq!(changes.request_limit, None);
    let changes = scheduler.note_own_signals(UPSTREAM, &stated(9.0), before, now);
    assert_eq!(changes.request_limit, None);
    let changes = scheduler.note_own_signals(UPSTREAM, &none, now + Millis(1), now);
    assert_eq!(changes.request_limit, Some(None));
    assert!(flood(&mut world, 1_000).len() > 50);
}

#[test]
fn a_limit_outlasts_a_lapsed_entry_but_not_a_restart() {
    // Guards against a limit that is forgotten when an entry lapses while the store is down.
    let mut world = limited(1.0);
    let before = flood(&mut world, 3_000);
    world.scheduler.remove_upstream(UPSTREAM, world.now);
    world.set(UPSTREAM, &server(1));
    let after = flood(&mut world, 3_000);
    let all: Vec<Millis> = before.into_iter().chain(after).collect();
    assert!(most_in(WINDOW, &all) <= 4, "{all:?}");
    world.set(UPSTREAM, &server(2));
    assert!(flood(&mut world, 1_000).len() > 50);
}

#[test]
fn a_limit_told_by_another_vm_counts() {
    // Guards against a scheduler that hears of a limit only from its own callers.
    let mut world = World::leading(0);
    world.set(UPSTREAM, &server(1));
    world.scheduler.set_admission_share(ONLY_SCHEDULER);
    let number = world.place(call(world.now));
    let attempt_id = scheduler_world::attempt_id(number);
    let now = world.now;
    world.scheduler.note_signals(attempt_id, &stated(1.0), now);
    world.end(number, Outcome::Answered { took: Millis(5) });
    assert!(most_in(WINDOW, &flood(&mut world, 8_000)) <= 4);
}

#[test]
fn other_upstreams_take_what_a_limited_one_does_not() {
    // Guards against requests that wait for an upstream in need while another one is free.
    let mut world = limited(1.0);
    world.set(
        OTHER,
        &UpstreamStatus {
            id_hash: 78,
            ..server(1)
        },
    );
    assert!(flood(&mut world, 1_000).len() > 95);

    let mut world = World::leading(2);
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.set_admission_share(ONLY_SCHEDULER);
    scheduler.note_own_signals(UpstreamId(0), &stated(1.0), now, now);
    let mut to_limited = 0;
    for _ in 0..30 {
        let number = world.place(generation(3, world.now));
        world.advance(300);
        let engine = world.sent_to(number).expect("it is sent in time");
        to_limited += usize::from(engine == UpstreamId(0));
        world.first_event(number);
        world.end(number, Outcome::Answered { took: Millis(300) });
    }
    assert!(to_limited <= 10, "{to_limited} requests in 9 s");
}

#[test]
fn requests_beyond_the_limits_of_all_upstreams_are_refused_soon() {
    // Guards against callers that wait until their deadline for upstreams which all state a limit.
    let mut world = limited(1.0);
    let numbers: Vec<u64> = (0..50)
        .map(|_| {
            let number = world.place(call(world.now));
            world.advance(10);
            number
        })
        .collect();
    let undecided = numbers
        .iter()
        .filter(|&&number| world.decision(number).is_none());
    assert!(undecided.count() <= 2);
}
