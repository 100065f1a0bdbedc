//! Shedding by urgency: what each class gets of a service that has more work than it can do.

mod load_player;
mod scheduler_world;

use {
    jasmine_core::{ids::UpstreamId, scheduler::Activation},
    load_player::{Player, Stream, Tally, Upstreams, at_once_part, shedding},
};

const PLAYED_MS: u64 = 20_000;

/// A service, with what it can do per second and the time limits of its requests.
#[derive(Clone, Copy, Debug)]
struct Service {
    upstreams: Upstreams,
    count: u32,
    per_s: f64,
    objective: u64,
    budget: u64,
}

const SLOW_CALLS: Service = Service {
    upstreams: Upstreams::Servers(60.0, 0.5),
    count: 2,
    per_s: 200.0,
    objective: 300,
    budget: 4_000,
};
const FAST_CALLS: Service = Service {
    upstreams: Upstreams::Servers(15.0, 0.5),
    count: 1,
    per_s: 400.0,
    objective: 100,
    budget: 600,
};
const GENERATIONS: Service = Service {
    upstreams: Upstreams::Engines,
    count: 6,
    per_s: 75.0,
    objective: 1_000,
    budget: 5_000,
};

impl Service {
    /// Streams of these parts of what the service can do, one a priority.
    fn streams(
        &self,
        parts: &[f64],
    ) -> Vec<Stream> {
        let streams = parts.iter().enumerate().map(|(priority, part)| Stream {
            per_s: part * self.per_s,
            priority: priority as u8,
            account: priority as u32,
            objective: self.objective,
            budget: self.budget,
        });
        streams.collect()
    }

    fn play(
        &self,
        streams: &[Stream],
        seed: u64,
    ) -> Vec<Tally> {
        let settings = shedding(Activation::On);
        let mut player = Player::new(self.upstreams, self.count, settings, seed);
        player.play(streams, PLAYED_MS);
        player.tallies
    }
}

/// Asserts the bounds for an excess in the least urgent class.
fn check_overload(
    service: Service,
    parts: &[f64],
    load: f64,
) {
    for seed in 0..3 {
        let streams = service.streams(parts);
        let usual = service.play(&streams, seed);
        let mut excessive = streams.clone();
        let sum: f64 = parts.iter().sum();
        excessive.last_mut().unwrap().per_s += (load - sum) * service.per_s;
        let tallies = service.play(&excessive, seed);
        println!("{service:?} {load} {seed}\n usual {usual:?}\n excess {tallies:?}");
        let context = format!("{service:?} at {load}, seed {seed}: {tallies:?}");
        let (urgent, before) = (tallies[0].served_part(), usual[0].served_part());
        assert!(urgent >= 0.95 * before, "{urgent} of {before}: {context}");
        for pair in tallies.windows(2) {
            let (more, less) = (pair[0].served_part(), pair[1].served_part());
            assert!(more >= less - 0.05, "{more} under {less}: {context}");
        }
        assert!(tallies.iter().all(|tally| tally.served > 0), "{context}");
        let at_once = at_once_part(&tallies);
        assert!(at_once >= 0.95, "{at_once} at once: {context}");
    }
}

const THREE: [f64; 3] = [0.3, 0.3, 0.3];
const TEN: [f64; 10] = [0.09; 10];

#[test]
fn slow_calls() {
    // Guards against refusing urgent calls as less urgent ones fill the queue.
    check_overload(SLOW_CALLS, &THREE, 1.5);
    check_overload(SLOW_CALLS, &THREE, 2.5);
}

#[test]
fn fast_calls() {
    // Guards against time budgets of a few calls' length that leave no room for estimates.
    check_overload(FAST_CALLS, &THREE, 1.5);
    check_overload(FAST_CALLS, &THREE, 2.5);
}

#[test]
fn generations() {
    // Guards against counting requests that wait for an adapter as work ahead of all others.
    check_overload(GENERATIONS, &THREE, 1.5);
    check_overload(GENERATIONS, &THREE, 2.5);
}

#[test]
fn ten_priorities() {
    // Guards against priorities that share a class.
    check_overload(SLOW_CALLS, &TEN, 1.5);
    check_overload(SLOW_CALLS, &TEN, 2.5);
    check_overload(GENERATIONS, &TEN, 1.5);
}

#[test]
fn short_budgets() {
    // Guards against refusing the requests with the shortest time budget first.
    for service in [SLOW_CALLS, GENERATIONS] {
        let mut streams = service.streams(&[0.3, 0.3, 1.4]);
        streams[0].objective /= 2;
        streams[0].budget /= 4;
        streams[2].budget *= 3;
        let tallies = service.play(&streams, 7);
        println!("{tallies:?}");
        let (short, long) = (tallies[0].served_part(), tallies[2].served_part());
        assert!(short >= 0.95, "{short} with a short budget: {tallies:?}");
        assert!(short >= long - 0.05, "{short} under {long}: {tallies:?}");
    }
}

#[test]
fn urgent_excess() {
    // Guards against starving less urgent classes while the most urgent one alone is too much.
    for service in [SLOW_CALLS, FAST_CALLS, GENERATIONS] {
        let streams = service.streams(&[2.0, 0.3, 0.3]);
        let tallies = service.play(&streams, 11);
        println!("{tallies:?}");
        let total: u32 = tallies.iter().map(|tally| tally.served).sum();
        for tally in &tallies[1..] {
            let part = f64::from(tally.served) / f64::from(total);
            assert!(part >= 0.05, "{part} of what is served: {tallies:?}");
        }
    }
}

#[test]
fn half_of_the_servers_end() {
    // Guards against a capacity that is believed long after it is gone: the urgent wait for nothing.
    let mut player = Player::new(SLOW_CALLS.upstreams, 4, shedding(Activation::On), 5);
    let streams = SLOW_CALLS.streams(&[0.6, 0.6, 0.6]);
    player.play(&streams, 5_000);
    for id in [0, 1] {
        player.end_upstream(UpstreamId(id));
    }
    player.tallies.clear();
    player.play(&streams, PLAYED_MS);
    println!("{:?}", player.tallies);
    let urgent = player.tallies[0].served_part();
    assert!(urgent >= 0.95, "{urgent}: {:?}", player.tallies);
    let at_once = at_once_part(&player.tallies);
    assert!(at_once >= 0.95, "{at_once}: {:?}", player.tallies);
}

#[test]
fn scheduler_ends_in_overload() {
    // Guards against a wave of refusals by a new scheduler that has measured nothing yet.
    for seed in 0..3 {
        let settings = shedding(Activation::On);
        let mut player = Player::new(SLOW_CALLS.upstreams, SLOW_CALLS.count, settings, seed);
        let streams = SLOW_CALLS.streams(&[0.3, 0.3, 0.9]);
        player.play(&streams, 8_000);
        let count = |player: &Player| -> Vec<u32> {
            let tallies = player.tallies.iter();
            tallies
                .map(|tally| tally.refused_at_once + tally.refused_later)
                .collect()
        };
        let before = count(&player);
        player.play(&streams, 2_000);
        let steady: u32 = count(&player).iter().sum::<u32>() - before.iter().sum::<u32>();
        player.take_over(settings);
        let taken = count(&player);
        player.play(&streams, 2_000);
        let after = count(&player);
        println!("seed {seed}: {steady} before, {taken:?} to {after:?}");
        let refused: u32 = after.iter().sum::<u32>() - taken.iter().sum::<u32>();
        assert!(refused <= steady * 6 / 5, "{refused} after {steady}");
        assert_eq!(after[0], taken[0], "the most urgent are refused");
    }
}

#[test]
fn short_budgets_scarce_adapters() {
    // Guards against adapters of less urgent requests that keep those of urgent ones from engines:
    // 12 slots for 10 adapters, and 16 for 20.
    for (engines, adapters) in [(6, 10), (8, 20)] {
        let service = Service {
            count: engines,
            per_s: 12.5 * f64::from(engines),
            ..GENERATIONS
        };
        let mut streams = service.streams(&[0.3, 0.3, 1.4]);
        streams[0].objective /= 2;
        streams[0].budget /= 4;
        streams[2].budget *= 3;
        let settings = shedding(Activation::On);
        let mut player = Player::new(service.upstreams, engines, settings, 7);
        player.adapters = adapters;
        player.play(&streams, PLAYED_MS);
        println!("{adapters}: {:?}", player.tallies);
        let short = player.tallies[0].served_part();
        assert!(short >= 0.95, "{short} with {adapters} adapters");
    }
}
