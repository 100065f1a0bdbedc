//! Refusals by the scheduler: deadlines, account rates, retry budgets and failing upstreams.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{AccountId, UpstreamId},
        scheduler::{
            AttemptCounts, AttemptHistory, Job, Outcome, PastAttempts, RateShare, RetrySettings,
            SchedulerSettings,
        },
    },
    scheduler_world::{Decision, World, call, generation},
};

fn with_account(
    job: Job,
    account: u32,
) -> Job {
    Job {
        account: Some(AccountId(account)),
        ..job
    }
}

fn refusal(
    world: &World,
    number: u64,
) -> Option<(ErrorKind, Option<Millis>)> {
    match world.decision(number)? {
        Decision::Refused(refusal) => Some((refusal.kind, refusal.retry_after)),
        Decision::Sent(..) => None,
    }
}

/// Simulates six seconds of generations at twice the capacity of one engine; returns the number of
/// requests whose first token was on time, and of all requests.
fn simulate_overload() -> (usize, usize) {
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    let mut arrived = Vec::new();
    let mut reading: Option<(u64, Millis)> = None;
    let mut on_time = 0;
    let end = world.now + Millis(6_000);
    while world.now < end {
        if world.now.0.is_multiple_of(50) {
            let number = world.generate(1);
            arrived.push((number, world.now + Millis(1_000)));
        }
        if let Some((number, done)) = reading
            && world.now >= done
        {
            world.first_event(number);
            world.end(number, Outcome::Answered { took: Millis(100) });
            let objective = arrived
                .iter()
                .find(|(known, _)| *known == number)
                .unwrap()
                .1;
            on_time += usize::from(world.now <= objective);
            reading = None;
        }
        if reading.is_none() {
            let next = arrived.iter().find(|(number, _)| {
                world.sent_to(*number).is_some()
                    && world
                        .scheduler
                        .is_running(scheduler_world::attempt_id(*number))
            });
            // The engine processes 1500 prompt tokens at 15 per millisecond.
            reading = next.map(|&(number, _)| (number, world.now + Millis(100)));
        }
        world.advance(10);
    }
    (on_time, arrived.len())
}

#[test]
fn overload_serves_requests_that_can_be_on_time() {
    // Guards against serving requests in order of arrival under overload, which makes nearly all of
    // them late.
    let (on_time, total) = simulate_overload();
    assert_eq!(total, 120);
    assert!(on_time >= 50, "{on_time} of {total} in time");
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    // Guards against keeping a request queued until its deadline when the queue ahead of it already
    // takes longer.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    for _ in 0..60 {
        world.generate(1);
    }
    let late = world.generate(1);
    let (kind, after) = refusal(&world, late).expect("refused at once");
    assert_eq!(kind, ErrorKind::CannotMeetDeadline);
    assert!(
        after.is_some_and(|after| after > Millis::ZERO && after < Millis(5_000)),
        "{after:?}"
    );
}

#[test]
fn requests_waiting_for_an_adapter_cause_no_refusals() {
    // Guards against estimating waits from the drain rate of the queue: requests that wait for
    // adapter loads would then cause refusals while engines are idle.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.engines_answer = false;
    for adapter in 10..20 {
        world.generate(adapter);
    }
    world.advance(900);
    let other = world.generate(1);
    assert!(
        world.sent_to(other).is_some(),
        "{:?}",
        world.decision(other)
    );
}

#[test]
fn an_account_over_its_rate_is_refused_with_a_retry_time() {
    let mut world = World::leading(0);
    world.add_server(UpstreamId(9));
    world.limit(1, 1_000, 1_000);
    let job = |now| with_account(call(now), 1);
    let mut numbers = Vec::new();
    for _ in 0..6 {
        let number = world.place(job(world.now));
        world.end(number, Outcome::Answered { took: Millis(5) });
        numbers.push(number);
    }
    let last = *numbers.last().unwrap();
    let (kind, after) = refusal(&world, last).expect("the burst allows five calls of 200 tokens");
    assert_eq!(kind, ErrorKind::RateLimited);
    let after = after.expect("a retry time");
    world.advance(after.0);
    let again = world.place(job(world.now));
    assert!(
        world.sent_to(again).is_some(),
        "admitted after the retry time"
    );
}

#[test]
fn a_refused_request_is_refunded() {
    // Guards against charging an account's rate for requests that never ran.
    let mut world = World::leading(0);
    world.limit(1, 1_000, 4_000);
    let job = with_account(generation(1, world.now), 1);
    let first = world.place(job);
    world.advance(6_000);
    assert!(
        refusal(&world, first).is_some(),
        "refused without an engine"
    );
    world.add_engine(UpstreamId(0), &[1]);
    for _ in 0..2 {
        let number = world.place(with_account(generation(1, world.now), 1));
        assert!(
            world.sent_to(number).is_some(),
            "the whole burst is available"
        );
    }
}

#[test]
fn a_takeover_does_not_refill_bursts() {
    // Guards against a full token bucket after a takeover, which would allow the same burst twice.
    let mut world = World::leading(0);
    world.add_server(UpstreamId(9));
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world.limit(1, 1_000, 10_000);
    let mut sent = 0;
    for _ in 0..20 {
        let number = world.place(with_account(call(world.now), 1));
        sent += usize::from(world.sent_to(number).is_some());
        world.end(number, Outcome::Answered { took: Millis(5) });
    }
    assert!(sent <= 5, "{sent} of 200 tokens each");
}

/// Settings with a retry budget of 20 % of all requests plus ten.
fn retry_settings() -> SchedulerSettings {
    SchedulerSettings {
        repeats: RetrySettings {
            ratio: 0.2,
            slack: 10.0,
            window: Millis(10_000),
        },
        ..SchedulerSettings::default()
    }
}

/// Sends a hundred requests in a second to an upstream that fails all of them; returns how many
/// were retried.
fn simulate_failures(world: &mut World) -> usize {
    world.add_server(UpstreamId(9));
    let mut retried = 0;
    for _ in 0..100 {
        let first = world.place(call(world.now));
        world.end(first, Outcome::Failed);
        let second = world.place(Job {
            attempt: 2,
            ..call(world.now)
        });
        retried += usize::from(world.sent_to(second).is_some());
        world.end(second, Outcome::Failed);
        world.advance(10);
    }
    retried
}

#[test]
fn retries_have_a_budget() {
    // Guards against retries that double the load on a failing service.
    let mut world = World::with(0, retry_settings(), true);
    let retried = simulate_failures(&mut world);
    assert!((10..=30).contains(&retried), "{retried} of at most 30");
}

#[test]
fn a_takeover_does_not_refill_the_retry_budget() {
    // Guards against a full retry budget after a takeover, which would allow twice the retries
    // within one window.
    let mut world = World::with(0, retry_settings(), false);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    let retried = simulate_failures(&mut world);
    // The previous scheduler may already have used 70 % of the thirty.
    assert!((1..=9).contains(&retried), "{retried} of 30");
}

#[test]
fn a_takeover_counts_the_retries_that_vms_tell() {
    // Guards against a successor that spends a budget which its predecessor has used up.
    let mut world = World::with(0, retry_settings(), false);
    world
        .scheduler
        .set_role(true, RateShare::TakenOver, world.now);
    let service = scheduler_world::CALLS;
    for vm in 0..4 {
        let counts = AttemptCounts {
            requests: 100,
            retries: if vm == 0 { 60 } else { 1 },
        };
        let history = AttemptHistory {
            counted_for: Millis(10_000),
            services: vec![(
                service,
                PastAttempts {
                    ago: Millis::ZERO,
                    counts,
                },
            )],
            stated: Vec::new(),
        };
        // A VM that connects again tells it again.
        let connections = if vm == 0 { 1 } else { 3 };
        for _ in 0..connections {
            world
                .scheduler
                .add_attempt_history(vm, vm as u32, &history, world.now);
        }
    }
    let retried = simulate_failures(&mut world);
    // 65 % of 20 % of 500 requests and ten more, less the 63 of before.
    assert!(retried <= 9, "{retried} retries after 63 of 110");
}

#[test]
fn standalone_vms_share_the_retry_budget() {
    // Guards against VMs without a scheduler that each spend a whole budget: an upstream that is
    // full gets most of its arrivals from retries.
    let mut retried = 0;
    for _ in 0..20 {
        let mut world = World::with(0, retry_settings(), false);
        world
            .scheduler
            .set_role(false, RateShare::Part(20), world.now);
        retried += simulate_failures(&mut world);
    }
    // 2,000 requests of all VMs allow 410; the elected scheduler may use 65 % of that.
    assert!(
        retried <= 41,
        "{retried} retries by VMs without a scheduler"
    );
}

#[test]
fn standalone_vms_share_the_slots_of_a_service() {
    // Guards against VMs without a scheduler that together send many times the slots of a service,
    // which turns most of the calls away.
    let mut sent = 0;
    for _ in 0..67 {
        let mut world = World::with(0, retry_settings(), false);
        world
            .scheduler
            .set_role(false, RateShare::Part(67), world.now);
        for id in 0..4 {
            world.add_server(UpstreamId(id));
        }
        for _ in 0..5 {
            let number = world.place(call(world.now));
            sent += usize::from(world.sent_to(number).is_some());
        }
    }
    // Four servers with six slots and a queue of their own.
    assert_eq!(sent, 67);
}

#[test]
fn a_failing_upstream_gets_fewer_requests() {
    // Guards against sending requests to a server that fails them while its health check passes.
    let mut world = World::leading(0);
    world.add_server(UpstreamId(8));
    world.add_server(UpstreamId(9));
    let mut bad = 0;
    for _ in 0..60 {
        let number = world.place(call(world.now));
        let is_bad = world.sent_to(number) == Some(UpstreamId(8));
        bad += usize::from(is_bad);
        let outcome = if is_bad {
            Outcome::Failed
        } else {
            Outcome::Answered { took: Millis(30) }
        };
        world.end(number, outcome);
        world.advance(20);
    }
    assert!(bad <= 12, "{bad} of 60 requests went to the failing server");
}

#[test]
fn requests_of_a_lost_vm_are_removed() {
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    for _ in 0..5 {
        world.generate(1);
    }
    assert_ne!(
        world.scheduler.running_len() + world.scheduler.waiting_len(),
        0
    );
    world.scheduler.forget_vm(0, world.now);
    assert_eq!(
        (world.scheduler.running_len(), world.scheduler.waiting_len()),
        (0, 0)
    );
}

#[test]
fn calls_are_served_beside_generations() {
    // Guards against refusing an account's cheap calls because its generations use up the rate.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_server(UpstreamId(9));
    world.limit(1, 4_000, 8_000);
    let mut refused = 0;
    for _ in 0..40 {
        for _ in 0..3 {
            let draft = world.place(with_account(generation(1, world.now), 1));
            world.first_event(draft);
            world.end(draft, Outcome::Answered { took: Millis(50) });
        }
        let status = world.place(with_account(call(world.now), 1));
        refused += usize::from(refusal(&world, status).is_some());
        world.end(status, Outcome::Answered { took: Millis(30) });
        world.advance(250);
    }
    assert_eq!(refused, 0, "of 40 calls");
}

#[test]
fn a_long_queue_bounds_the_evaluations() {
    // Guards against evaluating every queued request after every event, which would saturate the
    // scheduler's CPU.
    let mut world = World::leading(90);
    for adapter in 0..400 {
        world.generate(1_000 + adapter);
        if adapter % 4 == 0 {
            world.advance(1);
        }
    }
    let evaluations = world.scheduler.evaluations();
    assert!(evaluations < 5_000, "{evaluations}");
}
