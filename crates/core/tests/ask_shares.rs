//! Which requests of an account over its rate the scheduler is asked about.

mod scheduler_world;

use {
    jasmine_core::{
        ask_shares::{AskController, AskFilter, AskKind},
        clock::Millis,
        ids::{AccountId, UpstreamId},
        rights::CallerTag,
        scheduler::{AttemptId, Job, Outcome, RateShare},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    scheduler_world::{World, call},
};

const ACCOUNT: AccountId = AccountId(3);
const VMS: usize = 195;
/// Number of a VM at a scheduler that it asks.
const ASKING_VM: u32 = 1;
/// How often each VM asks the scheduler for its shares.
const PING_INTERVAL: u64 = 300;
const RETRY_AFTER: Millis = Millis(600);

/// An account's callers at many VMs, and a scheduler that admits so many of their requests a second.
struct Fleet {
    rng: ChaCha8Rng,
    now: Millis,
    controller: AskController,
    filters: Vec<AskFilter>,
    admitted_per_s: u64,
    /// Requests that the scheduler may still admit, in thousandths.
    allowance: u64,
}

#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    asked: u64,
    admitted: u64,
}

impl Fleet {
    fn new(
        seed: u64,
        admitted_per_s: u64,
    ) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(100_000),
            controller: AskController::default(),
            filters: vec![AskFilter::default(); VMS],
            admitted_per_s,
            allowance: 0,
        }
    }

    /// Sends `per_s` requests a second, each with a caller of its own.
    fn run(
        &mut self,
        per_s: u64,
        time: Millis,
    ) -> Counts {
        let mut counts = Counts::default();
        for _ in 0..time.0 {
            self.now += Millis(1);
            self.allowance = (self.allowance + self.admitted_per_s).min(self.admitted_per_s * 50);
            self.controller.adjust(self.now);
            self.ping();
            for _ in 0..self.arrivals(per_s) {
                counts.sent += 1;
                let caller = CallerTag(self.rng.random());
                let vm = self.rng.random_range(0..VMS);
                if self.filters[vm]
                    .check(ACCOUNT, AskKind::Generation, caller, self.now)
                    .is_ok()
                {
                    counts.asked += 1;
                    counts.admitted += u64::from(self.ask());
                }
            }
        }
        counts
    }

    fn arrivals(
        &mut self,
        per_s: u64,
    ) -> u64 {
        per_s / 1_000 + u64::from(self.rng.random_range(0..1_000) < per_s % 1_000)
    }

    fn ping(&mut self) {
        let now = self.now;
        for (vm, filter) in self.filters.iter_mut().enumerate() {
            if (now.0 + vm as u64).is_multiple_of(PING_INTERVAL) {
                let told = self.controller.told();
                if told.revision != filter.revision() {
                    filter.replace(&told);
                }
                filter.note_heard(now);
            }
        }
    }

    fn ask(&mut self) -> bool {
        let is_admitted = self.allowance >= 1_000;
        self.allowance -= if is_admitted { 1_000 } else { 0 };
        let told = (!is_admitted).then_some(RETRY_AFTER);
        self.controller.note(ACCOUNT, AskKind::Generation, told);
        is_admitted
    }
}

/// Guards against an account over its rate whose refused requests take most of the scheduler's time.
#[test]
fn refusals_are_few() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(seed, 300);
        fleet.run(1_500, Millis(3_000));
        let counts = fleet.run(1_500, Millis(6_000));
        let bound = counts.admitted * 3 / 2;
        assert!(
            counts.asked <= bound,
            "seed {seed}: {counts:?}, expected {bound} asked at most"
        );
        let owed = 300 * 6 * 95 / 100;
        assert!(
            counts.admitted >= owed,
            "seed {seed}: {counts:?}, expected {owed} admitted at least"
        );
    }
}

/// Guards against refusals that go on after an account's burst.
#[test]
fn end_of_a_burst() {
    for seed in 1..=20 {
        let mut fleet = Fleet::new(seed, 300);
        fleet.run(1_500, Millis(5_000));
        fleet.run(200, Millis(2_500));
        let counts = fleet.run(200, Millis(3_000));
        assert_eq!(counts.asked, counts.sent, "seed {seed}: {counts:?}");
    }
}

/// Guards against questions about an account within its rate that are held back.
#[test]
fn accounts_within_their_rate() {
    let mut fleet = Fleet::new(1, 300);
    let counts = fleet.run(270, Millis(10_000));
    assert_eq!(counts.asked, counts.sent, "{counts:?}");
}

/// Guards against a caller that the scheduler told when to return, and that another VM refuses then.
#[test]
fn returning_callers_pass() {
    let mut fleet = Fleet::new(1, 300);
    fleet.run(1_500, Millis(4_000));
    let callers: Vec<CallerTag> = (0..2_000).map(|_| CallerTag(fleet.rng.random())).collect();
    let passes = |fleet: &Fleet, vm: usize, caller| {
        let filter = &fleet.filters[vm];
        filter
            .check(ACCOUNT, AskKind::Generation, caller, fleet.now)
            .is_ok()
    };
    let asked: Vec<CallerTag> = callers
        .into_iter()
        .filter(|&caller| passes(&fleet, 0, caller))
        .collect();
    assert!(asked.len() > 100, "{} passed", asked.len());
    fleet.run(1_500, RETRY_AFTER);
    let returned = asked
        .iter()
        .filter(|&&caller| passes(&fleet, 1, caller))
        .count();
    let bound = asked.len() * 80 / 100;
    assert!(
        returned >= bound,
        "{returned} of {} passed, expected {bound} at least",
        asked.len()
    );
}

/// Guards against shares that outlive the scheduler that told them.
#[test]
fn silent_schedulers() {
    let mut fleet = Fleet::new(1, 300);
    fleet.run(1_500, Millis(4_000));
    let later = fleet.now + Millis(1_500);
    for caller in 0..500 {
        let check = fleet.filters[0].check(ACCOUNT, AskKind::Generation, CallerTag(caller), later);
        assert_eq!(check, Ok(()));
    }
}

/// Guards against small requests that are held back for those larger than the burst, which use nothing of the rate.
#[test]
fn larger_than_the_burst() {
    let mut world = World::leading(0);
    world.add_server(UpstreamId(1));
    world.limit(ACCOUNT.0, 1_000, 1_000);
    world.advance(3_000);
    ask_about(&mut world, 5_000, Millis(2_000));
    let told = world
        .scheduler
        .told_shares(u64::MAX)
        .expect("another revision");
    assert_eq!(told.shares, []);
}

/// Guards against requests that are held back as a new scheduler doesn't know yet what is left of their rate.
#[test]
fn takeovers_hold_nothing_back() {
    let mut world = World::leading(0);
    world.add_server(UpstreamId(1));
    world.limit(ACCOUNT.0, 1_000, 1_000);
    let now = world.now;
    world.scheduler.set_role(false, RateShare::Part(1), now);
    world.scheduler.set_role(true, RateShare::TakenOver, now);
    for _ in 0..3 {
        ask_about(&mut world, 900, Millis(600));
        let told = world
            .scheduler
            .told_shares(u64::MAX)
            .expect("another revision");
        assert_eq!(told.shares, []);
    }
    ask_about(&mut world, 900, Millis(2_000));
    let told = world
        .scheduler
        .told_shares(u64::MAX)
        .expect("another revision");
    assert_eq!(told.shares.len(), 1, "an account over its rate");
}

/// Has callers of the account send 200 calls a second, each of which ends at once.
fn ask_about(
    world: &mut World,
    cost: u64,
    time: Millis,
) {
    let end = world.now + time;
    while world.now < end {
        let job = Job {
            account: Some(ACCOUNT),
            caller: CallerTag(world.now.0),
            cost,
            ..call(world.now)
        };
        let attempt_id = AttemptId {
            vm: ASKING_VM,
            number: world.now.0,
        };
        let scheduler = &mut world.scheduler;
        scheduler.place(attempt_id, job, world.now);
        let outcome = Outcome::Answered { took: Millis(5) };
        scheduler.ended(attempt_id, outcome, world.now);
        world.advance(5);
    }
}
