//! Demand that shifts to other adapters every few seconds.

mod adapter_world;
mod scheduler_world;

use {
    adapter_world::{AdapterWorld, Load, Outcomes, Shift},
    jasmine_core::{clock::Millis, scheduler::Activation},
};

const MOVING: Load = Load {
    engines: 90,
    slots: 6,
    per_second: 300.0,
    seconds: 20,
    shift: Shift::Rise(5),
    shift_every: Millis(3_000),
    seed: 1,
    paced_loads: false,
    part: Activation::Off,
};

fn show(
    name: &str,
    o: &Outcomes,
) {
    println!(
        "{name}: sent {} refused {} late {} cold {} warm {} rejected {} load_waits {} fast {:.2} copy loads {} {:?}",
        o.sent,
        o.refused,
        o.late,
        o.cold_loads,
        o.warm_loads,
        o.rejected,
        o.load_waits(),
        o.busiest_on_fast,
        o.copy_loads,
        o.planned
    );
    for (reason, waits) in &o.waits {
        let mut w = waits.clone();
        w.sort_unstable();
        println!(
            "   {reason:?}: {} p50 {} p90 {} max {}",
            w.len(),
            w[w.len() / 2],
            w[w.len() * 9 / 10],
            w[w.len() - 1]
        );
    }
}

#[test]
#[ignore]
fn play() {
    for engines in [60, 90] {
        for (shift, paced_loads) in [(5, false), (20, false), (5, true)] {
            for part in [Activation::Off, Activation::On] {
                let load = Load {
                    engines,
                    part,
                    paced_loads,
                    shift: Shift::Rise(shift),
                    ..MOVING
                };
                let o = AdapterWorld::new(load).run();
                show(
                    &format!("{engines} rise {shift} paced {paced_loads} {part:?}"),
                    &o,
                );
            }
        }
    }
}
