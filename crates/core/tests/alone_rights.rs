//! What VMs may use of accounts' rates while no scheduler answers them.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, UpstreamId},
        scheduler::{Job, Outcome, OwnDecision, RightsShare, SchedulerSettings},
    },
    scheduler_world::{World, call, ticket},
};

const ACCOUNT: AccountId = AccountId(1);
const COST: u64 = 2_000;
/// VMs, as many as the parts into which rates are divided.
const VMS: u64 = 80;

/// How often a caller of the account comes to one VM, and how often its rate would allow it to: all VMs together use
/// two thirds of the rate.
const EVERY: u64 = 2_400;
const ALLOWED_EVERY: u64 = 1_600;

/// A VM that follows a scheduler, which has let its callers through until now.
fn following() -> World {
    let mut world = World::with(0, SchedulerSettings::default(), false);
    world.add_server(UpstreamId(9));
    let rate = COST * VMS * 1_000 / ALLOWED_EVERY;
    world.limit(ACCOUNT.0, rate, rate * 2);
    for _ in 0..10 {
        let now = world.now;
        let decided = OwnDecision::LetThrough;
        world.scheduler.note_own(ACCOUNT, COST, decided, now);
        world.pass(EVERY);
    }
    world
}

/// Plays so many milliseconds alone, with a request each `every`; those let through, and all.
fn play_alone(
    world: &mut World,
    ms: u64,
    every: u64,
) -> (usize, usize) {
    let share = RightsShare::Part(VMS);
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
        if world.scheduler.is_running(ticket(number)) {
            world.end(number, Outcome::Answered { took: Millis(5) });
        }
        world.pass(every);
    }
    (served, asked)
}

#[test]
fn callers_go_on_while_a_scheduler_is_elected() {
    // The VM that schedules freezes, and for a bit more than a second each VM decides alone. Nobody asks for more than
    // before; but an eightieth of an account's rate is less than one request. With that alone neither of two callers was
    // served on this load, both are with what the VM had before.
    let mut world = following();
    assert_eq!(play_alone(&mut world, 1_200, 600), (2, 2));
}

#[test]
fn a_long_time_alone_gives_no_more_than_the_part() {
    // A VM is cut off from all others while these use the account's whole rate. It may go on for an election's time;
    // what it used any longer would come on top of the rate.
    let mut world = following();
    let (served, asked) = play_alone(&mut world, 16_000, 50);
    assert_eq!(asked, 320);
    assert!(served <= 10 + 3, "{served}, of which 10 are its part");
}

#[test]
fn a_vm_that_loses_its_scheduler_often_gains_nothing() {
    // The connection to the scheduler breaks once a second. What a VM may go on with is for one election, not for
    // each time.
    let mut world = following();
    let mut served = 0;
    for _ in 0..6 {
        served += play_alone(&mut world, 1_000, 50).0;
    }
    assert!(served <= 4 + 3, "{served} of 120, of which 4 are its part");
}

#[test]
fn an_account_over_its_rate_goes_on_with_less() {
    // An account sends several times its rate, and most of it is refused, when the scheduler dies. What it had before
    // was all that it may have.
    let mut world = following();
    let now = world.now;
    let decided = OwnDecision::OverRate;
    world.scheduler.note_own(ACCOUNT, COST, decided, now);
    let (served, asked) = play_alone(&mut world, 1_200, 50);
    assert!(served <= 1, "{served} of {asked}");
}
