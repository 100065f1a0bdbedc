//! Measures the CPU cost of scheduling per request, by number of engines and request rate.
//!
//! `cargo run --release -p jasmine-core --example scheduler_cost -- <engines> <requests per second> <seconds> [contended]`.
//! The clock is virtual; the CPU time is real.

mod fleet;

use {
    fleet::SimulatedFleet,
    std::time::{Duration, Instant},
};

const DEFAULT_ARGS: [u64; 3] = [140, 850, 10];

fn main() {
    let mut args = std::env::args().skip(1);
    let [engines, per_s, seconds] = DEFAULT_ARGS.map(|default| {
        let arg = args.next();
        arg.map_or(default, |arg| {
            arg.parse()
                .expect("arguments must be non-negative integers")
        })
    });
    let is_contended = args.next().is_some_and(|word| word == "contended");
    let mut fleet = SimulatedFleet::new(engines as u32, is_contended);
    let started = Instant::now();
    fleet.run(per_s, seconds);
    report(&fleet, started.elapsed(), per_s * seconds);
}

fn report(
    fleet: &SimulatedFleet,
    took: Duration,
    requests: u64,
) {
    println!(
        "requests {requests}, first tokens {}, refused {}, in time {}, loads {}",
        fleet.first_tokens, fleet.refused, fleet.in_time, fleet.loads
    );
    println!(
        "{:.1} us per request, {:.4} of a core, {:.2} evaluations and {:.1} scans per request",
        took.as_secs_f64() * 1e6 / requests as f64,
        took.as_secs_f64() / fleet.elapsed().as_secs_f64(),
        fleet.evaluations() as f64 / requests as f64,
        fleet.scanned() as f64 / requests as f64,
    );
}
