//! What the scheduler refuses, whom it lets wait, and what it tells them.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{AccountId, UpstreamId},
        scheduler::{Job, Outcome, RepeatSettings, RightsShare, SchedulerSettings},
    },
    scheduler_world::{Decision, World, call, generation},
};

fn of_account(
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

/// Plays a load of generations at twice what one engine reads, for six seconds, and counts those whose first token
/// came in time.
fn play_overload() -> (usize, usize) {
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    let mut arrived = Vec::new();
    let mut reading: Option<(u64, Millis)> = None;
    let mut timely = 0;
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
            timely += usize::from(world.now <= objective);
            reading = None;
        }
        if reading.is_none() {
            let next = arrived.iter().find(|(number, _)| {
                world.sent_to(*number).is_some()
                    && world.scheduler.is_running(scheduler_world::ticket(*number))
            });
            // The engine reads 1500 tokens at 15 a millisecond.
            reading = next.map(|&(number, _)| (number, world.now + Millis(100)));
        }
        world.pass(10);
    }
    (timely, arrived.len())
}

#[test]
fn overload_serves_what_can_be_in_time() {
    // Twice as much comes as one engine can read. Taken by age every request would wait until just after its
    // objective, and nearly all be late; with those behind that can't be in time any more, as many are in time as the
    // engine can read. Measured on this load: 19 of 120 in time by age, 56 so; 60 is the most.
    let (timely, asked) = play_overload();
    assert_eq!(asked, 120);
    assert!(timely >= 50, "{timely} of {asked} in time");
}

#[test]
fn a_hopeless_request_is_refused_at_once() {
    // What waits already would keep the only engine busy for longer than the caller waits. It is told at once, with
    // the time by which that will have been read, and not when its deadline has come.
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
fn waiting_for_an_adapter_refuses_nobody_else() {
    // Requests wait for adapters that are being loaded. How slowly the queue empties then says nothing about how fast
    // others would be served: refused by that, they left engines idle, which looked slower still.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.engines_answer = false;
    for adapter in 10..20 {
        world.generate(adapter);
    }
    world.pass(900);
    let other = world.generate(1);
    assert!(
        world.sent_to(other).is_some(),
        "{:?}",
        world.decision(other)
    );
}

#[test]
fn an_account_over_its_rate_is_refused_with_a_time() {
    let mut world = World::leading(0);
    world.add_server(UpstreamId(9));
    world.limit(1, 1_000, 1_000);
    let job = |now| of_account(call(now), 1);
    let mut numbers = Vec::new();
    for _ in 0..6 {
        let number = world.place(job(world.now));
        world.end(number, Outcome::Answered { took: Millis(5) });
        numbers.push(number);
    }
    let last = *numbers.last().unwrap();
    let (kind, after) = refusal(&world, last).expect("five of two hundred tokens are the burst");
    assert_eq!(kind, ErrorKind::RateLimited);
    let after = after.expect("a time");
    world.pass(after.0);
    let again = world.place(job(world.now));
    assert!(world.sent_to(again).is_some(), "the time comes true");
}

#[test]
fn what_was_refused_costs_nothing() {
    // A request is charged when it comes and then refused because the queue is hopeless. Were the charge kept, the
    // account would be over its rate by requests that never ran.
    let mut world = World::leading(0);
    world.limit(1, 1_000, 4_000);
    let job = of_account(generation(1, world.now), 1);
    let first = world.place(job);
    world.pass(6_000);
    assert!(refusal(&world, first).is_some(), "no engine came");
    world.add_engine(UpstreamId(0), &[1]);
    for _ in 0..2 {
        let number = world.place(of_account(generation(1, world.now), 1));
        assert!(world.sent_to(number).is_some(), "the burst is whole");
    }
}

#[test]
fn a_takeover_assumes_little() {
    // A scheduler dies just after an account has used its whole burst. The next one doesn't know that; with a full
    // bucket it would let the burst through a second time.
    let mut world = World::leading(0);
    world.add_server(UpstreamId(9));
    let share = RightsShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world.limit(1, 1_000, 10_000);
    let mut sent = 0;
    for _ in 0..20 {
        let number = world.place(of_account(call(world.now), 1));
        sent += usize::from(world.sent_to(number).is_some());
        world.end(number, Outcome::Answered { took: Millis(5) });
    }
    assert!(sent <= 5, "{sent} of 200 tokens each");
}

/// A budget of a fifth of all requests and ten more.
fn with_repeats() -> SchedulerSettings {
    SchedulerSettings {
        repeats: RepeatSettings {
            ratio: 0.2,
            slack: 10.0,
            window: Millis(10_000),
        },
        ..SchedulerSettings::default()
    }
}

/// Plays a hundred requests in a second to an upstream that fails all of them; returns how many were sent once more.
fn play_failures(world: &mut World) -> usize {
    world.add_server(UpstreamId(9));
    let mut repeated = 0;
    for _ in 0..100 {
        let first = world.place(call(world.now));
        world.end(first, Outcome::Failed);
        let second = world.place(Job {
            attempt: 2,
            ..call(world.now)
        });
        repeated += usize::from(world.sent_to(second).is_some());
        world.end(second, Outcome::Failed);
        world.pass(10);
    }
    repeated
}

#[test]
fn repeats_have_a_budget() {
    // Every upstream fails, and each request would be sent again. Repeats that are bounded per request only would
    // double the load on a service that is short of capacity.
    let mut world = World::with(0, with_repeats(), true);
    let repeated = play_failures(&mut world);
    assert!((10..=30).contains(&repeated), "{repeated} of at most 30");
}

#[test]
fn a_takeover_repeats_little() {
    // A scheduler dies that has just had a service's repeats for the last ten seconds. The next one knows nothing of them;
    // with the whole budget anew, a service whose upstreams fail would get twice what it may.
    let mut world = World::with(0, with_repeats(), false);
    let share = RightsShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    let repeated = play_failures(&mut world);
    // The scheduler before may have used seven tenths of thirty.
    assert!((1..=9).contains(&repeated), "{repeated} of 30");
}

#[test]
fn a_failing_upstream_gets_less() {
    // One of two servers fails all that it is sent while its health check is good. Only the outcomes tell.
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
        world.pass(20);
    }
    assert!(bad <= 12, "{bad} of 60 went to the one that fails");
}

#[test]
fn a_vm_that_is_gone_holds_nothing() {
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
    // An account drafts so many texts that they use up its rate. Its staff reads the status of a phone for a tenth of
    // the tokens; refused with the drafts, somebody stands at a counter and waits.
    let mut world = World::leading(0);
    world.add_engine(UpstreamId(0), &[1]);
    world.add_server(UpstreamId(9));
    world.limit(1, 4_000, 8_000);
    let mut refused = 0;
    for _ in 0..40 {
        for _ in 0..3 {
            let draft = world.place(of_account(generation(1, world.now), 1));
            world.first_event(draft);
            world.end(draft, Outcome::Answered { took: Millis(50) });
        }
        let status = world.place(of_account(call(world.now), 1));
        refused += usize::from(refusal(&world, status).is_some());
        world.end(status, Outcome::Answered { took: Millis(30) });
        world.pass(250);
    }
    assert_eq!(refused, 0, "of 40 calls");
}

#[test]
fn many_waiting_requests_are_looked_at_in_turn() {
    // Ninety engines, and some hundred requests wait. Looked at with every event, the waiting ones took the whole
    // processor of the VM that schedules, and everybody waited for it. Measured on this load: 232,904 looks with
    // every event, 1,357 in turn.
    let mut world = World::leading(90);
    for adapter in 0..400 {
        world.generate(1_000 + adapter);
        if adapter % 4 == 0 {
            world.pass(1);
        }
    }
    let looked = world.scheduler.looked();
    assert!(looked < 5_000, "{looked}");
}
