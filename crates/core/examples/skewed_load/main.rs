//! Simulates rate rights under load: refused requests, messages and admitted tokens.
//!
//! `cargo run --release -p jasmine-core --example skewed_load`. Deterministic: virtual clock, fixed seed.
//! A refusal is wrongful if a single token bucket for the fleet would have admitted the request.

mod load;
mod run;

use {
    load::loads,
    run::{ARRIVAL_SECS, LIMIT, Run},
};

fn main() {
    println!(
        "load | sharing | requests | refused % | wrongful % | waited for peers % | messages/s | retries served % | tokens admitted, % of rate"
    );
    for load in loads() {
        for sharing in [false, true] {
            let counters = Run::new(load, sharing).run();
            let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
            println!(
                "{} | {} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1}",
                load.name,
                if sharing { "on" } else { "off" },
                counters.requests,
                percent(counters.refused, counters.requests),
                percent(counters.wrongful, counters.requests),
                percent(counters.waited, counters.requests),
                counters.messages as f64 / ARRIVAL_SECS as f64,
                percent(counters.retries_served, counters.retries),
                percent(counters.admitted_tokens, LIMIT.rate * ARRIVAL_SECS),
            );
        }
    }
}
