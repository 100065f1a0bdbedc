//! Entry daemons, stand-ins and callers that go on while faults come from outside, and what must hold of it all.
//!
//! Everything that runs between processes runs through proxies that delay, cut or silence it; processes are killed, stopped,
//! frozen and started anew by signals. A seed decides what happens when; what it does to the processes depends on the
//! machine besides, so that a seed is a kind of day and not an exact repetition.

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

/// How long callers go on after the last fault is over, for what comes late.
const SETTLE: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(10);

/// Plays one seed and returns what was broken.
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
