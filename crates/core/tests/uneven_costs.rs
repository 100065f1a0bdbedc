//! Placement of requests that look alike and cost 1 to 20 units of work.

mod cost_world;
mod scheduler_world;

use {
    cost_world::{ADAPTERS, Arrivals, CostWorld, KV_TOKENS, Measured, p99},
    jasmine_core::{clock::Millis, scheduler::Activation},
};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Most of the 99th percentile without cost estimates that may be left with them.
const MAX_RATIO: f64 = 0.7;

const fn arrivals(
    requests: usize,
    kinds: u32,
    load: f64,
    seed: u64,
) -> Arrivals {
    Arrivals {
        requests,
        load,
        seed,
        kinds,
    }
}

/// The same calls at 0.7 load, without and with cost estimates.
fn run_calls(seed: u64) -> [Measured; 2] {
    let arrivals = arrivals(20_000, 64, 0.7, seed);
    [Activation::Off, Activation::On].map(|part| CostWorld::servers(5, part).run(arrivals))
}

/// Checks a 99th percentile against that without cost estimates.
fn check(
    name: &str,
    seed: u64,
    off: &[Millis],
    on: &[Millis],
) {
    let (off, on) = (p99(off), p99(on));
    let ratio = on.0 as f64 / off.0 as f64;
    println!("{name} seed={seed} off_ms={off} on_ms={on} ratio={ratio:.2}");
    assert!(
        ratio <= MAX_RATIO,
        "p99 of {name} is {on} ms and was {off} ms, expected at most {MAX_RATIO} of that (seed {seed})"
    );
}

#[test]
fn uneven_calls() {
    // Guards against long responses where requests that look alike differ in cost.
    for seed in SEEDS {
        let [off, on] = run_calls(seed);
        println!("work alone seed={seed} p99_ms={}", p99(&on.works));
        check("responses", seed, &off.latencies, &on.latencies);
    }
}

#[test]
fn waiting_calls() {
    // Guards against calls that wait behind long ones while another server is free sooner.
    for seed in SEEDS {
        let [off, on] = run_calls(seed);
        assert_eq!((off.refused, on.refused), (0, 0), "refused at 0.7 load");
        check("waits", seed, &off.waits, &on.waits);
    }
}

#[test]
fn uneven_generations() {
    // Guards against generations that wait for memory which the running ones will never use.
    for seed in SEEDS {
        let arrivals = arrivals(6_000, ADAPTERS, 0.7, seed);
        let [off, on] = [Activation::Off, Activation::On]
            .map(|part| CostWorld::engines(4, KV_TOKENS, part).run(arrivals));
        check("first events", seed, &off.latencies, &on.latencies);
    }
}

#[test]
fn short_of_memory() {
    // Guards against reservations by expected outputs that overfill the memory of engines.
    for seed in SEEDS {
        let arrivals = arrivals(6_000, ADAPTERS, 1.0, seed);
        let measured = CostWorld::engines(4, KV_TOKENS / 2, Activation::On).run(arrivals);
        println!("seed={seed} refused={}", measured.refused);
        assert_eq!(
            measured.overflows, 0,
            "engines run out of memory (seed {seed})"
        );
    }
}
