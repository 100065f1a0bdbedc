//! Demand that shifts to other adapters every few seconds.

mod adapter_world;
mod scheduler_world;

use {
    adapter_world::{AdapterWorld, Load, Outcomes, Shift},
    jasmine_core::{
        clock::Millis,
        scheduler::{Activation, CopyStatistics},
    },
};

const MOVING: Load = Load {
    engines: 90,
    slots: 6,
    per_second: 300.0,
    seconds: 34,
    shift: Shift::Rise(5),
    shift_every: Millis(3_000),
    seed: 1,
    paced_loads: false,
    has_takeover: false,
    part: Activation::Off,
    burst: None,
};

/// Sums of the same runs with the part off and on.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    sent: u64,
    late: u64,
    load_waits: u64,
    cold_loads: u64,
    all_loads: u64,
    rejected: u64,
    planned: u64,
    in_vain: u64,
}

impl Totals {
    fn add(
        &mut self,
        run: &Outcomes,
    ) {
        self.sent += run.sent;
        self.late += run.late;
        self.load_waits += run.load_waits();
        self.cold_loads += run.cold_loads;
        self.all_loads += run.cold_loads + run.warm_loads;
        self.rejected += run.rejected;
        self.planned += run.planned.planned;
        self.in_vain += run.planned.in_vain;
    }
}

fn compare(load: Load) -> (Totals, Totals) {
    let totals = |part| {
        let mut totals = Totals::default();
        for (seed, engines, per_second) in [(1, 60, 250.0), (2, 75, 300.0), (3, 90, 350.0)] {
            let run = Load {
                engines,
                per_second,
                seed,
                part,
                ..load
            };
            totals.add(&AdapterWorld::new(run).run());
        }
        totals
    };
    let both = (totals(Activation::Off), totals(Activation::On));
    println!("off {:?}\non  {:?}", both.0, both.1);
    both
}

/// Guards against requests that wait for loads of adapters whose demand could be seen to rise.
#[test]
fn shifting_demand_waits_less() {
    let (off, on) = compare(MOVING);
    assert!(on.load_waits * 2 <= off.load_waits, "{on:?} {off:?}");
    assert!(on.cold_loads <= off.cold_loads, "{on:?} {off:?}");
    assert!(on.all_loads <= off.all_loads, "{on:?} {off:?}");
}

/// Guards against late loads of slow machines that make requests for all engines wait longer.
#[test]
fn slow_machines_delay_only_their_own_loads() {
    let load = Load {
        paced_loads: true,
        ..MOVING
    };
    let (off, on) = compare(load);
    assert!(on.load_waits * 2 <= off.load_waits, "{on:?} {off:?}");
    assert!(on.cold_loads <= off.cold_loads, "{on:?} {off:?}");
    assert!(on.all_loads <= off.all_loads, "{on:?} {off:?}");
}

/// Guards against loads ahead of a demand that nothing predicts.
#[test]
fn random_jumps_stop_loads_ahead() {
    let load = Load {
        shift: Shift::Random,
        shift_every: Millis(500),
        ..MOVING
    };
    let (off, on) = compare(load);
    assert!(on.in_vain * 5 <= on.planned.max(20), "{on:?}");
    assert!(on.all_loads <= off.all_loads, "{on:?} {off:?}");
}

/// Guards against popular adapters on slow engines.
#[test]
fn fast_engines_hold_the_busiest() {
    let load = Load {
        part: Activation::On,
        ..MOVING
    };
    let run = AdapterWorld::new(load).run();
    // Fast engines do 0.83 of all the work that the engines can do.
    assert!(run.busiest_on_fast >= 0.83, "{}", run.busiest_on_fast);
}

/// Guards against a new leader that loads copies by rates that it doesn't know yet, or none.
#[test]
fn takeover_keeps_copies() {
    let load = Load {
        has_takeover: true,
        ..MOVING
    };
    let (off, on) = compare(load);
    assert!(on.load_waits * 2 <= off.load_waits, "{on:?} {off:?}");
    assert!(on.all_loads <= off.all_loads, "{on:?} {off:?}");
}

/// Guards against effects on services where the part is inactive.
#[test]
fn inactive_part_changes_nothing() {
    let run = |part| {
        let load = Load {
            part,
            seconds: 10,
            ..MOVING
        };
        let run = AdapterWorld::new(load).run();
        assert_eq!(run.planned, CopyStatistics::default());
        (run.sent, run.late, run.load_waits(), run.cold_loads)
    };
    assert_eq!(run(Activation::Off), run(Activation::Auto));
}
