//! Placement of requests that look alike and cost 1 to 20 units of work.

mod cost_world;
mod scheduler_world;

use {
    cost_world::{ADAPTERS, Arrivals, CostWorld, Measured},
    jasmine_core::scheduler::Activation,
};

/// Part of the upstreams' capacity that the load takes.
const LOAD: f64 = 0.7;
const SEEDS: [u64; 3] = [1, 2, 3];

fn run(
    world: fn(u32, Activation) -> CostWorld,
    upstreams: u32,
    arrivals: Arrivals,
) -> [Measured; 2] {
    [Activation::Off, Activation::On].map(|part| world(upstreams, part).run(arrivals))
}

/// Checks that the 99th percentile is at most 0.7 of that without cost estimates.
fn check(
    name: &str,
    seed: u64,
    [off, on]: &[Measured; 2],
) {
    let ratio = on.p99().0 as f64 / off.p99().0 as f64;
    println!(
        "{name} seed {seed}: p99 {} ms off, {} ms on, ratio {ratio:.2}; refused {} and {}, overflows {} and {}",
        off.p99(),
        on.p99(),
        off.refused,
        on.refused,
        off.overflows,
        on.overflows
    );
    assert!(
        ratio <= 0.7,
        "p99 is {ratio:.2} of that without estimates, expected at most 0.7 (seed {seed})"
    );
}

#[test]
fn uneven_calls() {
    // Guards against short calls that wait behind long ones while another server is free sooner.
    for seed in SEEDS {
        let arrivals = Arrivals {
            requests: 20_000,
            load: LOAD,
            seed,
            kinds: 64,
        };
        check("calls", seed, &run(CostWorld::servers, 5, arrivals));
    }
}

#[test]
fn uneven_generations() {
    // Guards against generations that wait for memory which the running ones will never use.
    for seed in SEEDS {
        let arrivals = Arrivals {
            requests: 6_000,
            load: LOAD,
            seed,
            kinds: ADAPTERS,
        };
        let measured = run(CostWorld::engines, 4, arrivals);
        check("generations", seed, &measured);
        assert_eq!(
            measured[1].overflows, 0,
            "engines run out of memory (seed {seed})"
        );
    }
}
