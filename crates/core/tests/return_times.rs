//! Return times of refused callers, and what becomes of those who come when told.

mod load_player;
mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        error::ErrorKind,
        ids::{AccountId, UpstreamId},
        return_times::ReturnPromise,
        scheduler::{Activation, HardLoadSettings, Job, SchedulerSettings},
    },
    load_player::{Player, Stream, Tally, Upstreams, shedding},
    scheduler_world::{CALLS, Decision, World, generation},
    std::collections::BTreeMap,
};

/// Two servers that serve 800 calls a second.
const SERVERS: Upstreams = Upstreams::Servers(15.0, 0.5);
const PER_S: f64 = 800.0;
const USUAL: Stream = Stream {
    per_s: 0.3 * PER_S,
    priority: 1,
    account: 0,
    objective: 1_000,
    budget: 15_000,
};

fn settings() -> SchedulerSettings {
    let settings = shedding(Activation::On);
    SchedulerSettings {
        hard_load: HardLoadSettings {
            return_times: Activation::On,
            ..settings.hard_load
        },
        ..settings
    }
}

/// Plays usual load and then a burst of which about 1,000 callers are refused.
fn play_burst(seed: u64) -> Player {
    let mut player = Player::new(SERVERS, 2, settings(), seed);
    player.play(&[USUAL], 3_000);
    player.refusals.clear();
    let mut number = 0;
    while player.refusals.len() < 1_000 {
        number += 1;
        assert!(number < 20_000, "{} refused", player.refusals.len());
        let stream = Stream {
            account: number % 40,
            ..USUAL
        };
        player.arrive(0, &stream);
        if number % 20 == 0 {
            player.step();
        }
    }
    player.tallies = vec![Tally::default()];
    player
}

/// Lets the refused callers come back when they were told, under usual load; returns the part that
/// is served on the first return.
fn play_returns(player: &mut Player) -> f64 {
    let refusals = std::mem::take(&mut player.refusals);
    let count = refusals.len();
    let mut due: BTreeMap<Millis, Vec<Job>> = BTreeMap::new();
    for (at, job) in refusals {
        due.entry(at).or_default().push(job);
    }
    let mut returned = Vec::new();
    for _ in 0..7_000 {
        while let Some(entry) = due.first_entry()
            && *entry.key() <= player.world.now
        {
            for job in entry.remove() {
                returned.push(player.place(0, job));
            }
        }
        player.play(&[USUAL], 1);
    }
    assert_eq!(returned.len(), count);
    let served = returned
        .iter()
        .filter(|number| player.answered.contains(number));
    served.count() as f64 / count as f64
}

/// Asserts that no 100 ms gets over twice the mean of these times.
fn check_spread(times: &[Millis]) {
    let first = times.iter().min().unwrap().0 / 100;
    let last = times.iter().max().unwrap().0 / 100;
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for time in times {
        *counts.entry(time.0 / 100).or_default() += 1;
    }
    let mean = times.len() as f64 / (last - first + 1) as f64;
    let most = *counts.values().max().unwrap() as f64;
    println!("{} returns, {mean} in 100 ms, at most {most}", times.len());
    assert!(
        most <= 2.0 * mean,
        "{most} in 100 ms, {mean} on average: {counts:?}"
    );
}

#[test]
fn come_when_told() {
    // Guards against refused callers who come back together and are refused again.
    for seed in 0..3 {
        let mut player = play_burst(seed);
        let times: Vec<Millis> = player.refusals.iter().map(|&(at, _)| at).collect();
        check_spread(&times);
        let served = play_returns(&mut player);
        println!(
            "seed {seed}: {served} on the first return, {:?}",
            player.world.scheduler.return_counts()
        );
        assert!(served >= 0.9, "{served} on the first return");
    }
}

#[test]
fn within_a_third() {
    // Guards against promises at times when callers no longer come back.
    let player = play_burst(4);
    for (at, job) in &player.refusals {
        let longest = job.deadline.since(player.world.now).0 / 3 + 200;
        assert!(at.since(player.world.now).0 <= longest, "{at} for {job:?}");
    }
}

#[test]
fn all_come_at_once() {
    // Guards against promises that are kept ahead of their time, at the expense of newcomers.
    let mut player = play_burst(1);
    let refusals = std::mem::take(&mut player.refusals);
    player.play(&[USUAL], 300);
    player.tallies = vec![Tally::default()];
    let urgent = Stream {
        priority: 0,
        ..USUAL
    };
    player.tallies.push(Tally::default());
    for (_, job) in &refusals {
        player.place(1, job.clone());
    }
    player.play(&[urgent, USUAL], 4_000);
    println!("{:?}", player.tallies);
    let served = player.tallies[0].served_part();
    assert!(served >= 0.95, "{served} of more urgent newcomers");
}

#[test]
fn none_comes() {
    // Guards against capacity that is kept for callers who never come back.
    let mut player = play_burst(2);
    let last = player.refusals.iter().map(|&(at, _)| at).max().unwrap();
    let released = last + Millis(700);
    player.play(&[USUAL], released.since(player.world.now).0);
    player.tallies = vec![Tally::default()];
    let newcomers = Stream {
        per_s: 0.8 * PER_S,
        ..USUAL
    };
    player.play(&[newcomers], 4_000);
    println!("{:?}", player.tallies);
    let served = player.tallies[0].served_part();
    assert!(served >= 0.95, "{served} of newcomers");
    let counts = player.world.scheduler.return_counts();
    assert_eq!(counts.kept, 0);
    assert_eq!(counts.released, counts.promised);
}

#[test]
fn takeover_keeps_promises() {
    // Guards against promises that end with the scheduler that made them.
    let mut player = play_burst(3);
    let promises: Vec<ReturnPromise> = player
        .refusals
        .iter()
        .map(|(due, job)| ReturnPromise {
            caller: job.caller,
            service: CALLS,
            priority: job.priority,
            due: *due,
            work: 1.0,
        })
        .collect();
    player.take_over(settings());
    let now = player.world.now;
    player.world.scheduler.add_promises(&promises, now);
    let served = play_returns(&mut player);
    let counts = player.world.scheduler.return_counts();
    println!("{served} on the first return, {counts:?}");
    assert!(served >= 0.9, "{served} on the first return");
    assert!(
        counts.kept as usize >= promises.len() * 9 / 10,
        "{counts:?}"
    );
}

#[test]
fn alone_promises_nothing() {
    // Guards against VMs without a scheduler that promise the same capacity.
    let mut world = World::with(0, settings(), false);
    world.add_server(UpstreamId(0));
    let mut times = Vec::new();
    for account in 0..1_000 {
        let job = Job {
            account: Some(AccountId(account)),
            caller: jasmine_core::rights::CallerTag(u64::from(account)),
            objective: world.now + Millis(300),
            deadline: world.now + Millis(3_000),
            ..scheduler_world::call(world.now)
        };
        let number = world.place(job);
        if let Some(Decision::Refused(refusal)) = world.decision(number) {
            times.push(world.now + refusal.retry_after.unwrap());
        }
    }
    assert_eq!(world.scheduler.return_counts().promised, 0);
    check_spread(&times);
}

#[test]
fn rate_limits() {
    // Guards against callers over their account's rate who are all told the same time.
    let mut world = World::with(1, settings(), true);
    world.limit(1, 20_000, 8_000);
    let mut times = Vec::new();
    for caller in 0..60 {
        let job = Job {
            account: Some(AccountId(1)),
            caller: jasmine_core::rights::CallerTag(caller),
            deadline: world.now + Millis(15_000),
            ..generation(1, world.now)
        };
        let number = world.place(job);
        if let Some(Decision::Refused(refusal)) = world.decision(number)
            && refusal.kind == ErrorKind::RateLimited
        {
            times.push(world.now + refusal.retry_after.unwrap());
        }
    }
    assert!(times.len() > 40, "{}", times.len());
    check_spread(&times);
}
