//! What a request costs the VM that schedules, by number of engines and requests a second.
//!
//! `cargo run --release -p jasmine-core --example scheduler_cost -- <engines> <requests a second> <seconds>`; the clock is
//! virtual, the cost is this machine's.

mod fleet;

use {
    fleet::SimulatedFleet,
    std::time::{Duration, Instant},
};

const DEFAULTS: [u64; 3] = [140, 850, 10];

fn main() {
    let mut args = std::env::args().skip(1);
    let [engines, per_s, seconds] = DEFAULTS.map(|default| {
        let arg = args.next();
        arg.map_or(default, |arg| arg.parse().expect("a number"))
    });
    let mut fleet = SimulatedFleet::new(engines as u32);
    let began = Instant::now();
    fleet.play(per_s, seconds);
    report(&fleet, began.elapsed(), per_s * seconds);
}

fn report(
    fleet: &SimulatedFleet,
    took: Duration,
    asked: u64,
) {
    println!(
        "asked {asked}, first tokens {}, refused {}, in time {}, loads {}",
        fleet.first_tokens, fleet.refused, fleet.timely, fleet.loads
    );
    println!(
        "{:.1} us a request, {:.4} of a core, {:.2} looks a request",
        took.as_secs_f64() * 1e6 / asked as f64,
        took.as_secs_f64() / fleet.played().as_secs_f64(),
        fleet.evaluations() as f64 / asked as f64,
    );
}
