//! Rate limiting on a VM that has no scheduler.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, UpstreamId},
        scheduler::{Job, Outcome, RateDecision, RateShare, SchedulerSettings},
    },
    scheduler_world::{World, attempt_id, call},
};

const ACCOUNT: AccountId = AccountId(1);
const COST: u64 = 2_000;
/// Number of VMs, and so of equal shares of each rate limit.
const VMS: u64 = 80;

/// Interval between an account's requests on one VM, and the minimum within its rate.
const REQUEST_INTERVAL_MS: u64 = 2_400;
const MIN_INTERVAL_MS: u64 = 1_600;

/// A standby whose callers were admitted by a scheduler until now.
fn standby_world() -> World {
    let mut world = World::with(0, SchedulerSettings::default(), false);
    world.add_server(UpstreamId(9));
    let rate = COST * VMS * 1_000 / MIN_INTERVAL_MS;
    world.limit(ACCOUNT.0, rate, rate * 2);
    for _ in 0..10 {
        let now = world.now;
        let decided = RateDecision::Admitted;
        world
            .scheduler
            .record_own_decision(ACCOUNT, COST, decided, now);
        world.advance(REQUEST_INTERVAL_MS);
    }
    world
}

/// Runs without a scheduler, with a request every `every` ms.
///
/// Returns the number of admitted requests and of all requests.
fn run_standalone(
    world: &mut World,
    ms: u64,
    every: u64,
) -> (usize, usize) {
    let share = RateShare::Part(VMS);
    world.scheduler.set_role(false, share, world.now);
    let (mut served, mut asked) = (0, 0);
    for _ in 0..ms / every {
        let number = world.place(Job {
            account: Some(ACCOUNT),
            cost: COST,
            ..call(world.now)
        });
        asked += 1;
        served += usize::from(world.sent_to(number).is_some());
        if world.scheduler.is_running(attempt_id(number)) {
            world.end(number, Outcome::Answered { took: Millis(5) });
        }
        world.advance(every);
    }
    (served, asked)
}

#[test]
fn requests_are_admitted_during_an_election() {
    // Guards against rejecting all requests during an election, when a VM's share of the rate is
    // less than one request.
    let mut world = standby_world();
    assert_eq!(run_standalone(&mut world, 1_200, 600), (2, 2));
}

#[test]
fn long_partition_is_limited_to_the_share() {
    // Guards against a partitioned VM that adds more than its share to an account's rate for longer
    // than an election.
    let mut world = standby_world();
    let (served, asked) = run_standalone(&mut world, 16_000, 50);
    assert_eq!(asked, 320);
    assert!(
        served <= 10 + 3,
        "served {served} requests; the VM's share allows 10"
    );
}

#[test]
fn repeated_scheduler_loss_grants_one_allowance() {
    // Guards against a VM that gets a new allowance each time it loses its scheduler.
    let mut world = standby_world();
    let mut served = 0;
    for _ in 0..6 {
        served += run_standalone(&mut world, 1_000, 50).0;
    }
    assert!(
        served <= 4 + 3,
        "served {served} of 120 requests; the VM's share allows 4"
    );
}

#[test]
fn accounts_over_their_rate_get_a_smaller_allowance() {
    // Guards against an allowance that follows the demand of an account over its rate.
    let mut world = standby_world();
    let now = world.now;
    let decided = RateDecision::RateLimited;
    world
        .scheduler
        .record_own_decision(ACCOUNT, COST, decided, now);
    let (served, asked) = run_standalone(&mut world, 1_200, 50);
    assert!(
        served <= 1,
        "served {served} of {asked} requests, expected at most 1"
    );
}
