//! Upstreams at different paces that change ten times a second: how soon requests get their response, beside a chooser that knows all.

mod paced_world;
mod scheduler_world;

use {
    jasmine_core::scheduler::Activation,
    paced_world::{Change, Chooser, Kind, Reports, Setup, mean_response_ms},
};

const FRESH: Reports = Reports::True { late: 0 };
const LATE: Reports = Reports::True { late: 500 };
const ON: Chooser = Chooser::Scheduler(Activation::On);
const OFF: Chooser = Chooser::Scheduler(Activation::Off);
/// Load as a part of what all upstreams can do.
const LOADS: [f64; 3] = [0.4, 0.6, 0.8];
const SEEDS: [u64; 3] = [1, 2, 3];

/// Mean time to the response over all seeds, in milliseconds.
fn mean_ms(setup: Setup) -> f64 {
    let sum: f64 = SEEDS
        .iter()
        .map(|&seed| mean_response_ms(Setup { seed, ..setup }))
        .sum();
    sum / SEEDS.len() as f64
}

/// Fails if requests take more than `bound` times as long as with another chooser.
fn check(
    kind: Kind,
    change: Change,
    reports: Reports,
    beside: Chooser,
    bound: f64,
) {
    let ratios = LOADS.map(|load| {
        let setup = Setup {
            kind,
            change,
            reports,
            chooser: ON,
            upstreams: 6,
            load,
            seconds: 10,
            seed: 0,
        };
        let (own, other) = (
            mean_ms(setup),
            mean_ms(Setup {
                chooser: beside,
                ..setup
            }),
        );
        println!(
            "{kind:?} {change:?} {reports:?} load {load}: {own:.1} ms beside {other:.1} ms, {:.3} of at most {bound}",
            own / other
        );
        own / other
    });
    assert!(
        ratios.iter().all(|&ratio| ratio <= bound),
        "{kind:?} {change:?} {reports:?}: {ratios:.3?} at loads {LOADS:?}, expected at most {bound}"
    );
}

#[test]
fn steady_calls_fresh() {
    // Guards against requests that are sent to the slower ones of upstreams that are slower for good although reports tell.
    check(Kind::Call, Change::AroundOwn, FRESH, Chooser::Knowing, 1.15);
}

#[test]
fn steady_calls_late() {
    // Guards against reports that are believed as if they were fresh, of upstreams that are slower for good.
    check(Kind::Call, Change::AroundOwn, LATE, Chooser::Knowing, 1.3);
}

#[test]
fn steady_calls_none() {
    // Guards against measured times that serve worse than before where no reports come, of upstreams that are slower for good.
    check(Kind::Call, Change::AroundOwn, Reports::None, OFF, 1.0);
}

#[test]
fn switching_calls_fresh() {
    // Guards against requests that are sent to the slower ones of upstreams that switch between paces although reports tell.
    check(Kind::Call, Change::AmongAll, FRESH, Chooser::Knowing, 1.15);
}

#[test]
fn switching_calls_late() {
    // Guards against reports that are believed as if they were fresh, of upstreams that switch between paces.
    check(Kind::Call, Change::AmongAll, LATE, Chooser::Knowing, 1.3);
}

#[test]
fn switching_calls_none() {
    // Guards against measured times that serve worse than before where no reports come, of upstreams that switch between paces.
    check(Kind::Call, Change::AmongAll, Reports::None, OFF, 1.0);
}

#[test]
fn steady_generations_fresh() {
    // Guards against requests that are sent to the slower ones of upstreams that are slower for good although reports tell.
    check(
        Kind::Generation,
        Change::AroundOwn,
        FRESH,
        Chooser::Knowing,
        1.15,
    );
}

#[test]
fn steady_generations_late() {
    // Guards against reports that are believed as if they were fresh, of upstreams that are slower for good.
    check(
        Kind::Generation,
        Change::AroundOwn,
        LATE,
        Chooser::Knowing,
        1.3,
    );
}

#[test]
fn steady_generations_none() {
    // Guards against measured times that serve worse than before where no reports come, of upstreams that are slower for good.
    check(Kind::Generation, Change::AroundOwn, Reports::None, OFF, 1.0);
}

#[test]
fn switching_generations_fresh() {
    // Guards against requests that are sent to the slower ones of upstreams that switch between paces although reports tell.
    check(
        Kind::Generation,
        Change::AmongAll,
        FRESH,
        Chooser::Knowing,
        1.15,
    );
}

#[test]
fn switching_generations_late() {
    // Guards against reports that are believed as if they were fresh, of upstreams that switch between paces.
    check(
        Kind::Generation,
        Change::AmongAll,
        LATE,
        Chooser::Knowing,
        1.3,
    );
}

#[test]
fn switching_generations_none() {
    // Guards against measured times that serve worse than before where no reports come, of upstreams that switch between paces.
    check(Kind::Generation, Change::AmongAll, Reports::None, OFF, 1.0);
}
