//! What a scheduler that takes over grants of the account rates.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, UpstreamId},
        rights::Limit,
        scheduler::{
            Job, Outcome, RateDecision, RateHistory, RateShare, SchedulerSettings, SpentTokens,
        },
    },
    rand::{Rng as _, SeedableRng as _},
    rand_chacha::ChaCha8Rng,
    scheduler_world::{World, call},
};

const ACCOUNT: AccountId = AccountId(1);
const COST: u64 = 200;
/// Time over which limits are judged, in seconds and milliseconds.
const WINDOW_SECS: u64 = 8;
const WINDOW_MS: u64 = 1_000 * WINDOW_SECS;
const LIMIT: Limit = Limit {
    rate: 1_000,
    burst: 10_000,
};
/// What a takeover grants where nothing is known: 5 % of what the limit allows in a window.
const UNKNOWN_GRANT: u64 = max_usage(LIMIT) / 20;
/// Number of random histories.
const HISTORIES: u64 = 400;

const fn max_usage(limit: Limit) -> u64 {
    limit.burst + limit.rate * WINDOW_SECS
}

/// A VM that doesn't lead.
fn vm(limit: Limit) -> World {
    let mut world = World::with(0, SchedulerSettings::default(), false);
    world.add_server(UpstreamId(9));
    world.limit(ACCOUNT.0, limit.rate, limit.burst);
    world
}

/// A scheduler that has just taken over from another one, with these VMs beside it.
fn successor(vms: &[u64]) -> World {
    let mut world = vm(LIMIT);
    world.scheduler.set_vms(vms, world.now);
    world.advance(2 * WINDOW_MS);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    world
}

fn history(
    counted_for: u64,
    spent: &[(u64, u64)],
) -> RateHistory {
    let spent = spent.iter().map(|&(ago, tokens)| SpentTokens {
        ago: Millis(ago),
        tokens,
    });
    RateHistory {
        counted_for: Millis(counted_for),
        accounts: vec![(ACCOUNT, spent.collect())],
    }
}

fn tell(
    world: &mut World,
    vm: u64,
    history: &RateHistory,
) {
    world.scheduler.add_rate_history(vm, history, world.now);
}

/// Whether a call of this cost is admitted.
fn is_admitted(
    world: &mut World,
    cost: u64,
) -> bool {
    let number = world.place(Job {
        account: Some(ACCOUNT),
        cost,
        ..call(world.now)
    });
    let is_sent = world.sent_to(number).is_some();
    if is_sent {
        world.end(number, Outcome::Answered { took: Millis(5) });
    }
    is_sent
}

/// How many tokens are admitted at once.
fn admitted_at_once(world: &mut World) -> u64 {
    let mut admitted = 0;
    while is_admitted(world, COST) {
        admitted += COST;
    }
    admitted
}

#[test]
fn a_successor_grants_what_is_left_of_the_limit() {
    // Guards against refusals after a takeover that the limit would bear.
    let mut world = successor(&[1, 2, 3]);
    for vm in 1..=3 {
        tell(&mut world, vm, &history(WINDOW_MS, &[(0, 1_000)]));
    }
    assert_eq!(admitted_at_once(&mut world), LIMIT.burst - 3_000);
}

#[test]
fn an_unused_account_has_its_whole_burst() {
    // Guards against a takeover that costs an account its burst.
    let mut world = successor(&[1, 2]);
    for vm in 1..=2 {
        tell(&mut world, vm, &history(WINDOW_MS, &[]));
    }
    assert_eq!(admitted_at_once(&mut world), LIMIT.burst);
}

#[test]
fn used_tokens_are_earned_again() {
    // Guards against counting all that was used in a window against the burst, whose tokens are refilled.
    let mut world = successor(&[1, 2]);
    tell(&mut world, 1, &history(WINDOW_MS, &[(6_000, 9_000)]));
    tell(&mut world, 2, &history(WINDOW_MS, &[(1_000, 2_000)]));
    // 10,000 + 6 s * 1,000 - 11,000, or 10,000 + 1 s * 1,000 - 2,000.
    assert_eq!(admitted_at_once(&mut world), 5_000);
}

#[test]
fn a_used_up_account_gets_no_more_than_the_unknown_one() {
    // Guards against a burst that is allowed twice.
    let mut world = successor(&[1, 2]);
    for vm in 1..=2 {
        tell(&mut world, vm, &history(WINDOW_MS, &[(0, 5_000)]));
    }
    let admitted = admitted_at_once(&mut world);
    assert!(admitted <= UNKNOWN_GRANT, "{admitted} tokens");
}

#[test]
fn own_admissions_count() {
    // Guards against granting again what was admitted before the last VM told.
    let mut world = successor(&[1, 2]);
    tell(&mut world, 1, &history(WINDOW_MS, &[(0, 4_000)]));
    let first = admitted_at_once(&mut world);
    assert!(first > 0, "the grant for the unknown");
    tell(&mut world, 2, &history(WINDOW_MS, &[]));
    assert_eq!(first + admitted_at_once(&mut world), LIMIT.burst - 4_000);
}

#[test]
fn a_vm_that_tells_twice_counts_once() {
    // Guards against a VM that connects again: its usage would count twice, or in place of another's that hasn't told.
    let mut world = successor(&[1, 2]);
    let told = history(WINDOW_MS, &[(0, 3_000)]);
    tell(&mut world, 1, &told);
    tell(&mut world, 1, &told);
    let unknown = admitted_at_once(&mut world);
    assert!(unknown <= UNKNOWN_GRANT, "{unknown} tokens");
    tell(&mut world, 2, &history(WINDOW_MS, &[]));
    let rest = admitted_at_once(&mut world);
    assert_eq!(unknown + rest, LIMIT.burst - 3_000);
}

#[test]
fn a_vm_that_does_not_tell_keeps_the_unknown_grant() {
    // Guards against a VM of an earlier build, whose `hello` says that it has counted for no time.
    let mut world = successor(&[1, 2, 3]);
    for vm in 1..=2 {
        tell(&mut world, vm, &history(WINDOW_MS, &[]));
    }
    tell(&mut world, 3, &RateHistory::default());
    let admitted = admitted_at_once(&mut world);
    assert!(admitted > 0 && admitted <= UNKNOWN_GRANT, "{admitted}");
}

#[test]
fn a_vm_that_has_just_left_counts() {
    // Guards against a killed leader that the store lists no more: its callers may have used the whole limit.
    let mut world = vm(LIMIT);
    world.scheduler.set_vms(&[1, 2, 3], world.now);
    world.advance(2 * WINDOW_MS);
    world.scheduler.set_vms(&[1, 2], world.now);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    for vm in 1..=2 {
        tell(&mut world, vm, &history(WINDOW_MS, &[]));
    }
    let admitted = admitted_at_once(&mut world);
    assert!(admitted <= UNKNOWN_GRANT, "{admitted} tokens");
}

#[test]
fn tokens_earned_since_a_vm_left_are_granted() {
    // Guards against waiting for a whole window: a VM that has left uses nothing.
    let mut world = vm(LIMIT);
    world.scheduler.set_vms(&[1, 2, 3], world.now);
    world.advance(2 * WINDOW_MS);
    world.scheduler.set_vms(&[1, 2], world.now);
    world.advance(4_000);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    tell(&mut world, 1, &history(WINDOW_MS, &[(1_000, 600)]));
    tell(&mut world, 2, &history(WINDOW_MS, &[(4_500, 6_000)]));
    assert_eq!(admitted_at_once(&mut world), 4_000 - 600);
}

#[test]
fn a_list_of_vms_that_was_read_late_counts() {
    // Guards against a VM that left before the list was read, while this one had run for long.
    let mut world = vm(LIMIT);
    world.advance(2 * WINDOW_MS);
    world.scheduler.set_vms(&[1, 2], world.now);
    let share = RateShare::TakenOver;
    world.scheduler.set_role(true, share, world.now);
    for vm in 1..=2 {
        tell(&mut world, vm, &history(WINDOW_MS, &[]));
    }
    let admitted = admitted_at_once(&mut world);
    assert!(admitted <= UNKNOWN_GRANT, "{admitted} tokens");
}

#[test]
fn tokens_earned_since_all_have_counted_are_granted() {
    // Guards against a VM that has restarted: it knows what it used since, and nothing of before.
    let mut world = successor(&[1, 2]);
    tell(&mut world, 1, &history(WINDOW_MS, &[(1_000, 500)]));
    tell(&mut world, 2, &history(3_000, &[(0, 500)]));
    assert_eq!(admitted_at_once(&mut world), 3_000 - 1_000);
}

#[test]
fn a_vm_tells_what_its_callers_used_in_a_window() {
    // Guards against a history that leaves out admissions, or keeps those of long ago.
    let mut world = vm(LIMIT);
    let note = |world: &mut World, cost| {
        let now = world.now;
        let decided = RateDecision::Admitted;
        world
            .scheduler
            .record_own_decision(ACCOUNT, cost, decided, now);
    };
    note(&mut world, 70);
    world.advance(WINDOW_MS + 1_000);
    note(&mut world, 7);
    note(&mut world, 8);
    world.advance(3_000);
    note(&mut world, 9);
    let told = world.scheduler.rate_history(world.now);
    assert_eq!(told.counted_for, Millis(WINDOW_MS));
    let [(account, spent)] = told.accounts.as_slice() else {
        panic!("{told:?}");
    };
    assert_eq!(*account, ACCOUNT);
    let tokens: Vec<u64> = spent.iter().map(|spent| spent.tokens).collect();
    assert_eq!(tokens, [15, 9]);
    assert!(spent[0].ago <= Millis(3_000) && spent[0].ago >= Millis(2_400));
    assert!(spent[1].ago <= Millis(500));
}

/// The most tokens in any window.
fn most_in_window(admitted: &[(Millis, u64)]) -> u64 {
    let after = |at: Millis| {
        let within = move |&&(t, _): &&(Millis, u64)| t >= at && t < at + Millis(WINDOW_MS);
        admitted.iter().filter(within).map(|&(_, cost)| cost).sum()
    };
    let sums = admitted.iter().map(|&(at, _)| after(at));
    sums.max().unwrap_or_default()
}

/// Requests to a scheduler over some seconds, in bursts and pauses, from VMs that have unequal parts of them.
struct Requests<'a> {
    rng: &'a mut ChaCha8Rng,
    /// The part of the requests that come from the VM `favourite`.
    skew: f64,
    favourite: usize,
    admitted: &'a mut Vec<(Millis, u64)>,
}

impl Requests<'_> {
    fn run(
        &mut self,
        scheduler: &mut World,
        vms: &mut [World],
        until: Millis,
    ) {
        while scheduler.now < until {
            let is_burst = self.rng.random_bool(0.2);
            for _ in 0..self.rng.random_range(0..if is_burst { 40 } else { 4 }) {
                let cost = self.rng.random_range(50..1_500);
                if !is_admitted(scheduler, cost) {
                    continue;
                }
                let now = scheduler.now;
                self.admitted.push((now, cost));
                let from = if self.rng.random_bool(self.skew) {
                    self.favourite
                } else {
                    self.rng.random_range(0..vms.len())
                };
                let decided = RateDecision::Admitted;
                vms[from]
                    .scheduler
                    .record_own_decision(ACCOUNT, cost, decided, now);
            }
            let pause = self.rng.random_range(20..800);
            let pause = pause.min(until.since(scheduler.now).0);
            scheduler.advance(pause);
            for vm in &mut *vms {
                vm.now = scheduler.now;
            }
        }
    }
}

/// Plays a takeover; returns the limit and when tokens were admitted by both schedulers.
fn play(seed: u64) -> (Limit, Vec<(Millis, u64)>) {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let rate = rng.random_range(500..4_000);
    let burst = rate * rng.random_range(1..12);
    let limit = Limit { rate, burst };
    let count = rng.random_range(1..7);
    let names: Vec<u64> = (0..count as u64).collect();
    let mut vms: Vec<World> = (0..count).map(|_| vm(limit)).collect();
    for vm in &mut vms {
        vm.scheduler.set_vms(&names, vm.now);
    }
    let mut first = World::leading(0);
    first.add_server(UpstreamId(9));
    first.limit(ACCOUNT.0, rate, burst);
    let mut admitted = Vec::new();
    let mut requests = Requests {
        skew: rng.random_range(0.0..1.0),
        favourite: rng.random_range(0..count),
        rng,
        admitted: &mut admitted,
    };
    let until = first.now + Millis(requests.rng.random_range(1_000..20_000));
    requests.run(&mut first, &mut vms, until);
    // A VM may restart, and so forget what it has counted.
    if requests.rng.random_bool(0.3) {
        let restarted = requests.rng.random_range(0..count);
        vms[restarted] = vm(limit);
        vms[restarted].now = first.now;
        let scheduler = &mut vms[restarted].scheduler;
        *scheduler = jasmine_core::scheduler::Scheduler::new(
            SchedulerSettings::default(),
            RateShare::Part(count as u64),
        );
        let limits = [(ACCOUNT, limit)].into();
        scheduler.set_limits(limits, first.now);
        let until = first.now + Millis(requests.rng.random_range(0..9_000));
        requests.run(&mut first, &mut vms, until);
    }
    let mut second = vm(limit);
    second.scheduler.set_vms(&names, second.now);
    second.advance(first.now.since(second.now).0);
    // A VM may be gone, with all that it knew.
    let gone = requests
        .rng
        .random_bool(0.5)
        .then(|| requests.rng.random_range(0..count as u64));
    if gone.is_some() {
        let left: Vec<u64> = names
            .iter()
            .copied()
            .filter(|&vm| Some(vm) != gone)
            .collect();
        second.scheduler.set_vms(&left, second.now);
        second.advance(requests.rng.random_range(0..2_000));
    }
    let share = RateShare::TakenOver;
    second.scheduler.set_role(true, share, second.now);
    let mut told: Vec<RateHistory> = vms
        .iter_mut()
        .map(|vm| vm.scheduler.rate_history(second.now))
        .collect();
    for (vm, history) in told.drain(..).enumerate() {
        if Some(vm as u64) == gone || requests.rng.random_bool(0.1) {
            continue;
        }
        tell(&mut second, vm as u64, &history);
        if requests.rng.random_bool(0.2) {
            tell(&mut second, vm as u64, &history);
        }
    }
    let until = second.now + Millis(requests.rng.random_range(1_000..10_000));
    let mut others: Vec<World> = (0..count).map(|_| vm(limit)).collect();
    requests.run(&mut second, &mut others, until);
    (limit, admitted)
}

#[test]
fn both_schedulers_stay_within_the_limit() {
    // Guards against a window over a takeover in which an account uses more than its limit and the tolerance of 5 %.
    let mut worst = 0.0_f64;
    for seed in 0..HISTORIES {
        let (limit, admitted) = play(seed);
        let most = most_in_window(&admitted);
        let part = most as f64 / max_usage(limit) as f64;
        worst = worst.max(part);
        assert!(part <= 1.05, "seed {seed}: {most} tokens, {limit:?}");
    }
    println!("{worst:.3} of a limit at most");
}
