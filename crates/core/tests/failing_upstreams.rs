//! Upstreams that fail requests faster than others answer them.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{Job, Outcome},
    },
    scheduler_world::{World, call},
    std::collections::VecDeque,
};

const SERVERS: u32 = 4;
/// Time of a call that is answered.
const ANSWER_TIME: Millis = Millis(60);
/// Time until a failing server resets the connection.
const FAILURE_TIME: Millis = Millis(6);

/// Simulates five seconds of calls to four servers with six slots each, of which `fails` tells
/// whether a call at a time fails; returns the numbers of answered and of failed calls.
fn simulate_calls<F>(
    calls_per_s: u64,
    fails: F,
) -> (usize, usize)
where
    F: Fn(UpstreamId, u64) -> bool,
{
    let mut world = World::leading(0);
    for id in 0..SERVERS {
        world.add_server(UpstreamId(id));
    }
    let begin = world.now;
    let mut arrived = 0;
    let mut waiting: Vec<u64> = Vec::new();
    let mut running: VecDeque<(Millis, u64, Outcome)> = VecDeque::new();
    let (mut answered, mut failed) = (0, 0);
    while world.now < begin + Millis(5_000) {
        let now = world.now;
        while arrived < now.since(begin).0 * calls_per_s / 1_000 {
            arrived += 1;
            waiting.push(world.place(Job {
                objective: now + Millis(300),
                deadline: now + Millis(3_000),
                ..call(now)
            }));
        }
        waiting.retain(|&number| match world.sent_to(number) {
            None => true,
            Some(upstream) if fails(upstream, number) => {
                running.push_back((now + FAILURE_TIME, number, Outcome::Lost));
                false
            }
            Some(_) => {
                let answer = Outcome::Answered { took: ANSWER_TIME };
                running.push_back((now + ANSWER_TIME, number, answer));
                false
            }
        });
        let (ended, rest): (VecDeque<_>, VecDeque<_>) =
            running.into_iter().partition(|&(at, ..)| at <= now);
        running = rest;
        for (_, number, outcome) in ended {
            match outcome {
                Outcome::Answered { .. } => answered += 1,
                _ => failed += 1,
            }
            world.end(number, outcome);
        }
        world.advance(2);
    }
    (answered, failed)
}

#[test]
fn a_server_that_fails_at_once_attracts_few_calls() {
    // Guards against a server that resets each connection: its slots are always free, so that under
    // load it gets most of the calls, which are lost.
    let (answered, failed) = simulate_calls(480, |upstream, _| upstream == UpstreamId(3));
    println!("{answered} answered, {failed} failed");
    assert!(failed <= 30, "{failed} calls failed");
    // Three servers can run 1,500 calls.
    assert!(answered >= 1_350, "{answered} calls answered");
}

#[test]
fn failures_of_all_servers_take_none_out() {
    // Guards against taking servers out one after the other when all fail alike, which leaves the
    // load to fewer of them without fewer failures.
    let (answered, failed) = simulate_calls(480, |_, number| number % 2 == 0);
    println!("{answered} answered, {failed} failed");
    assert!(answered + failed >= 1_400, "{answered} and {failed}");
}

#[test]
fn a_recovered_server_is_used_again() {
    // Guards against a server that stays out after it has recovered.
    let is_failing = |upstream, number| upstream == UpstreamId(3) && number < 400;
    let (answered, failed) = simulate_calls(480, is_failing);
    println!("{answered} answered, {failed} failed");
    assert!(answered >= 1_480, "{answered} calls answered");
}
