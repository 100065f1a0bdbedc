//! Shedding by urgency: what accounts of one class get while one of them sends too much.

mod load_player;
mod scheduler_world;

use {
    jasmine_core::scheduler::Activation,
    load_player::{Player, Stream, Tally, Upstreams, shedding},
};

const ACCOUNTS: u32 = 6;

/// Plays accounts that together need 0.9 of what a service can do, the first at `factor` times its
/// rate; returns the tallies and whether the first request of a new account was answered.
fn play(
    upstreams: Upstreams,
    count: u32,
    per_s: f64,
    factor: f64,
    seed: u64,
) -> (Vec<Tally>, bool) {
    let streams: Vec<Stream> = (0..ACCOUNTS)
        .map(|account| Stream {
            per_s: 0.9 * per_s / f64::from(ACCOUNTS) * if account == 0 { factor } else { 1.0 },
            priority: 1,
            account,
            objective: 1_000,
            budget: 4_000,
        })
        .collect();
    let mut player = Player::new(upstreams, count, shedding(Activation::On), seed);
    player.play(&streams, 15_000);
    let newcomer = Stream {
        account: 99,
        ..streams[1]
    };
    player.tallies.push(Tally::default());
    player.arrive(ACCOUNTS as usize, &newcomer);
    for _ in 0..4_000 {
        player.step();
    }
    let is_served = player.tallies[ACCOUNTS as usize].on_time == 1;
    (player.tallies, is_served)
}

fn check_accounts(
    upstreams: Upstreams,
    count: u32,
    per_s: f64,
) {
    for seed in 0..3 {
        let (usual, _) = play(upstreams, count, per_s, 1.0, seed);
        let (tallies, is_served) = play(upstreams, count, per_s, 5.0, seed);
        println!("{upstreams:?} {seed}\n usual {usual:?}\n excess {tallies:?}");
        let part = |tallies: &[Tally]| {
            let others = &tallies[1..ACCOUNTS as usize];
            let served: u32 = others.iter().map(|tally| tally.served).sum();
            let arrived: u32 = others.iter().map(|tally| tally.arrived).sum();
            f64::from(served) / f64::from(arrived)
        };
        let (before, after) = (part(&usual), part(&tallies));
        assert!(
            after >= before - 0.03,
            "{after}, {before} without: {tallies:?}"
        );
        assert!(is_served, "the first request of a new account: {tallies:?}");
    }
}

#[test]
fn plain_calls() {
    // Guards against an account that sends too much at the expense of the others of its class.
    check_accounts(Upstreams::Servers(60.0, 0.5), 2, 200.0);
    check_accounts(Upstreams::Servers(15.0, 0.5), 1, 400.0);
}

#[test]
fn generations() {
    // Guards against the same on engines, where the queue holds many adapters.
    check_accounts(Upstreams::Engines, 6, 75.0);
}
