//! Further attempts of answers that have begun, and successors of silent upstreams.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::UpstreamId,
        scheduler::{Job, RetrySettings, SchedulerSettings},
    },
    scheduler_world::{CALLS, Decision, World, call, upstream},
};

const SILENT: UpstreamId = UpstreamId(1);
const OTHER: UpstreamId = UpstreamId(2);

/// A world with a budget of so many retries and an upstream with one slot, which is silent.
fn world_with_budget(retries: f64) -> World {
    let settings = SchedulerSettings {
        repeats: RetrySettings {
            ratio: 0.0,
            // The elected scheduler uses 65 percent of it.
            slack: (retries + 0.5) / 0.65,
            ..RetrySettings::default()
        },
        ..SchedulerSettings::default()
    };
    let mut world = World::with(0, settings, true);
    add_server(&mut world, SILENT);
    world
}

fn add_server(
    world: &mut World,
    id: UpstreamId,
) {
    let mut status = upstream(None);
    status.service = CALLS;
    status.slots = 1;
    world.set(id, &status);
}

/// Sends calls until one has to wait, and returns those that run.
fn fill(world: &mut World) -> Vec<u64> {
    let mut running = Vec::new();
    loop {
        let number = world.place(call(world.now));
        if world.sent_to(number).is_none() {
            world.cancel(number);
            return running;
        }
        running.push(number);
    }
}

fn successor(now: Millis) -> Job {
    Job {
        attempt: 2,
        excluded_upstreams: vec![SILENT],
        allowed_upstreams: Vec::new(),
        is_hedge: true,
        ..call(now)
    }
}

fn refusal(
    world: &World,
    number: u64,
) -> Option<ErrorKind> {
    match world.decision(number) {
        Some(Decision::Refused(refusal)) => Some(refusal.kind),
        _ => None,
    }
}

#[test]
fn a_silent_upstream_is_no_successor_of_itself() {
    // Guards against repeating a request at the upstream that still works on it.
    let mut world = world_with_budget(2.0);
    let number = world.place(successor(world.now));
    assert_eq!(refusal(&world, number), Some(ErrorKind::NoUpstream));
    add_server(&mut world, OTHER);
    let number = world.place(successor(world.now));
    assert_eq!(world.sent_to(number), Some(OTHER));
}

#[test]
fn a_search_draws_on_the_budget_only_when_it_succeeds() {
    // Guards against a retry budget that is used up by searches for successors that end without one.
    let mut world = world_with_budget(1.0);
    add_server(&mut world, OTHER);
    let running = fill(&mut world);
    for _ in 0..5 {
        let number = world.place(successor(world.now));
        assert_eq!(world.decision(number), None, "no slot is free");
        world.cancel(number);
    }
    for number in running {
        world.cancel(number);
    }
    let number = world.place(successor(world.now));
    assert_eq!(world.sent_to(number), Some(OTHER));
    let number = world.place(successor(world.now));
    assert_eq!(refusal(&world, number), Some(ErrorKind::NoUpstream));
}

#[test]
fn waiting_successors_keep_to_the_budget() {
    // Guards against more retries than the budget allows when several successors have waited for a slot.
    let mut world = world_with_budget(1.0);
    add_server(&mut world, OTHER);
    let running = fill(&mut world);
    let waiting = [(); 2].map(|()| world.place(successor(world.now)));
    for number in running {
        world.cancel(number);
    }
    world.advance(20);
    let first = waiting
        .into_iter()
        .find(|&number| world.sent_to(number).is_some());
    world.cancel(first.expect("one is sent"));
    let second = waiting.into_iter().find(|&number| Some(number) != first);
    assert_eq!(
        refusal(&world, second.unwrap()),
        Some(ErrorKind::NoUpstream)
    );
}

#[test]
fn an_answer_that_has_begun_is_not_late() {
    // Guards against cutting an answer that has begun because newer requests can still be on time.
    let mut world = world_with_budget(1.0);
    let running = fill(&mut world);
    for _ in 0..40 {
        world.place(call(world.now));
    }
    let late = Job {
        objective: world.now,
        deadline: world.now + Millis(800),
        attempt: 2,
        has_begun: true,
        ..call(world.now)
    };
    let number = world.place(late);
    world.advance(20);
    assert_eq!(refusal(&world, number), None);
    world.cancel(running[0]);
    assert_eq!(world.sent_to(number), Some(SILENT), "before newer requests");
}
