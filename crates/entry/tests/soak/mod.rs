//! Soak test: runs entry daemons under load, injects faults and checks invariants.
//!
//! Connections run through fault-injecting proxies; processes are killed, stopped, suspended and restarted. A seed
//! determines the schedule of faults, but their effects depend on timing, so runs aren't exactly reproducible.

mod callers;
mod checks;
mod fault;
mod world;

use {
    callers::Callers,
    checks::check,
    fault::plan,
    std::{
        thread,
        time::{Duration, Instant},
    },
    world::World,
};

/// How long callers continue after the last fault, to catch late effects.
const SETTLE: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(10);

/// Runs the fault schedule of one seed and returns the violated invariants.
pub fn play(
    seed: u64,
    length: Duration,
) -> Vec<String> {
    let mut world = World::start(seed);
    let callers = Callers::start(world.addresses());
    let began = Instant::now();
    let mut faults = plan(seed, length).into_iter().peekable();
    while began.elapsed() < length {
        while faults.peek().is_some_and(|(at, _)| *at <= began.elapsed()) {
            let (_, fault) = faults.next().unwrap();
            world.begin(fault);
        }
        world.step();
        thread::sleep(STEP);
    }
    world.heal();
    let mut broken = world.serves_again();
    thread::sleep(SETTLE);
    let records = callers.finish();
    broken.extend(check(&world, &records));
    if !broken.is_empty() {
        world.keep_logs(seed);
    }
    broken
}
