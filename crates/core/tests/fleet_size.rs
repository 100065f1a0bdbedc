//! Scheduling with hundreds and thousands of engines.

mod scheduler_world;

use {
    jasmine_core::{clock::Millis, ids::UpstreamId, scheduler::Outcome},
    scheduler_world::{World, engine, upstream},
    std::{
        collections::{BTreeSet, VecDeque},
        time::{Duration, Instant},
    },
};

/// Upper bound of pending report requests; below the file descriptor limit of a small VM.
const MAX_PENDING_REPORTS: usize = 64;

/// Prefill time of a prompt, and the objective for its first token.
const PREFILL_TIME: Millis = Millis(120);
const OBJECTIVE: Millis = Millis(1_000);

/// A leader that has no engine reports yet.
fn world_without_reports(engines: u32) -> World {
    let mut world = World::leading(0);
    for id in 0..engines {
        world.set(UpstreamId(id), &upstream(Some(engine(None, &[]))));
    }
    world
}

/// Guards against a takeover that connects to all engines at once.
#[test]
fn pending_report_requests_are_bounded() {
    let mut world = world_without_reports(1_000);
    world.advance(200);
    assert!(world.reports_asked.len() <= MAX_PENDING_REPORTS);
    let mut asked = BTreeSet::new();
    for _ in 0..1_000 {
        let pending = std::mem::take(&mut world.reports_asked);
        assert!(pending.len() <= MAX_PENDING_REPORTS);
        asked.extend(pending.iter().copied());
        for id in pending {
            world.report(id, &engine(Some(0), &[]));
        }
        world.advance(1);
    }
    assert_eq!(asked.len(), 1_000);
}

/// Guards against a report that a request needs being queued behind those of idle engines.
#[test]
fn needed_reports_are_requested_first() {
    let mut world = world_without_reports(1_000);
    world.advance(100);
    let number = world.generate(7);
    let mut answered = 0;
    while world.orders.is_empty() {
        world.advance(5);
        for id in std::mem::take(&mut world.reports_asked) {
            world.report(id, &engine(Some(0), &[]));
            answered += 1;
        }
        assert!(answered < 200, "no order after {answered} reports");
    }
    world.advance(300);
    assert!(world.sent_to(number).is_some());
}

/// Guards against requests waiting for another copy of their adapter while a loaded copy is idle.
#[test]
fn popular_adapters_spread() {
    let mut world = World::leading(400);
    let mut prefilling = VecDeque::new();
    let mut waiting = Vec::new();
    let mut late = 0;
    for step in 0..600 {
        if step < 400 {
            let asked = world.now;
            waiting.extend([1, 1].map(|adapter| (asked, world.generate(adapter))));
        }
        world.advance(5);
        waiting.retain(|&(asked, number)| {
            let is_sent = world.sent_to(number).is_some();
            if is_sent {
                prefilling.push_back((world.now + PREFILL_TIME, number));
                late += usize::from(world.now + PREFILL_TIME > asked + OBJECTIVE);
            }
            !is_sent
        });
        while let Some((_, number)) = prefilling.pop_front_if(|&mut (at, _)| at <= world.now) {
            world.first_event(number);
        }
    }
    assert!(
        waiting.is_empty(),
        "{} requests were not sent",
        waiting.len()
    );
    assert_eq!(late, 0);
}

/// Guards against waiting for an adapter slot on preferred engines while other engines are idle.
#[test]
fn idle_engines_are_found() {
    let mut world = World::leading(0);
    let busy = 180;
    for id in 0..200 {
        world.add_engine(UpstreamId(id), &[1_000 + id, 2_000 + id]);
    }
    for id in 0..busy {
        world.generate(1_000 + id);
        world.generate(2_000 + id);
    }
    world.advance(200);
    let orders = world.orders.len();
    let asked: Vec<u64> = (1..=20).map(|adapter| world.generate(adapter)).collect();
    world.advance(400);
    assert!(world.orders.len() > orders);
    let sent = asked
        .iter()
        .filter(|&&number| world.sent_to(number).is_some());
    assert_eq!(sent.count(), 20);
}

/// Guards against preferred engines that are not updated when engines join or leave.
#[test]
fn preferred_engines_follow_membership() {
    let mut world = World::leading(60);
    let used = |world: &mut World, adapters: std::ops::Range<u32>| -> BTreeSet<u32> {
        let numbers: Vec<u64> = adapters.map(|adapter| world.generate(adapter)).collect();
        world.advance(600);
        let used = numbers.iter().filter_map(|&number| world.sent_to(number));
        let used = used.map(|id| id.0).collect();
        for number in numbers {
            world.first_event(number);
            world.end(number, Outcome::Answered { took: Millis(400) });
        }
        used
    };
    used(&mut world, 0..60);
    for id in 0..30 {
        world.scheduler.remove_upstream(UpstreamId(id), world.now);
    }
    for id in 100..130 {
        world.add_engine(UpstreamId(id), &[]);
    }
    let later: BTreeSet<u32> = (0..4).flat_map(|_| used(&mut world, 0..60)).collect();
    assert!(later.iter().all(|&id| id >= 30));
    let joined = later.iter().filter(|&&id| id >= 100).count();
    assert!(joined >= 15, "only {joined} of 30 new engines are used");
}

/// Time that a scheduler takes for a fixed number of requests.
fn cost(engines: u32) -> Duration {
    let mut world = World::leading(engines);
    let began = Instant::now();
    for round in 0..300 {
        let numbers: Vec<u64> = (0..4)
            .map(|at| world.generate(round % 20 * 4 + at))
            .collect();
        world.advance(3);
        for number in numbers {
            world.first_event(number);
            world.end(number, Outcome::Answered { took: Millis(3) });
        }
    }
    began.elapsed()
}

/// Guards against scheduling cost that grows with the number of engines.
#[test]
fn cost_stays_flat() {
    let best = |engines| (0..3).map(|_| cost(engines)).min();
    let (few, many) = (best(150), best(3_000));
    let ratio = many.unwrap_or_default().as_secs_f64() / few.unwrap_or_default().as_secs_f64();
    assert!(ratio < 5.0, "cost grew by a factor of {ratio:.1}");
}
