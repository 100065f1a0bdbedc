//! Whether a fleet serves its callers in time again after a burst.

mod adapter_world;
mod scheduler_world;

use {
    adapter_world::{AdapterWorld, Burst, Load, Shift},
    jasmine_core::{clock::Millis, scheduler::Activation},
};

/// Demand of which the engines serve nearly all in time without a burst.
const LOAD: Load = Load {
    engines: 140,
    slots: 5,
    per_second: 800.0,
    seconds: 26,
    shift: Shift::Rise(30),
    shift_every: Millis(3_000),
    seed: 1,
    paced_loads: false,
    has_takeover: false,
    part: Activation::Off,
    burst: Some(Burst {
        from: Millis(8_000),
        until: Millis(13_000),
        factor: 2.0,
    }),
};
/// The seconds after the burst in whose arrivals it shows whether the fleet stays behind.
const AFTER_BURST: std::ops::Range<u64> = 13..19;

fn share_in_time(seed: u64) -> f64 {
    let outcomes = AdapterWorld::new(Load { seed, ..LOAD }).run();
    for (second, (sent, in_time)) in &outcomes.by_second {
        println!("{second:3} s: {in_time} of {sent} in time");
    }
    let after = outcomes.by_second.range(AFTER_BURST);
    let (sent, in_time) = after.fold((0, 0), |sum, (_, &(sent, in_time))| {
        (sum.0 + sent, sum.1 + in_time)
    });
    in_time as f64 / sent as f64
}

/// Guards against a fleet that stays behind after a burst, as it gets slower the more requests wait.
#[test]
fn in_time_again_after_a_burst() {
    for seed in 1..=5 {
        let share = share_in_time(seed);
        println!("seed {seed}: {share:.3} in time");
        assert!(
            share >= 0.9,
            "seed {seed}: {share:.3} in time, expected 0.9 at least"
        );
    }
}
