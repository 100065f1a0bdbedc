//! Rate rights under load on a virtual clock: refusals within the rate, messages, promises kept.
//!
//! `cargo run --release -p jasmine-core --example skewed_load`. Seeded; the same figures each time.
//! A refusal counts as wrongful when one bucket for the whole fleet would have admitted the request.

mod load;
mod run;

use {
    load::loads,
    run::{LIMIT, Run, SECONDS},
};

fn main() {
    println!(
        "load | sharing | requests | refused % | wrongful % | asked % | messages/s | back served % | tokens admitted, % of rate"
    );
    for load in loads() {
        for sharing in [false, true] {
            let figures = Run::new(load, sharing).run();
            let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
            println!(
                "{} | {} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1}",
                load.name,
                if sharing { "on" } else { "off" },
                figures.requests,
                percent(figures.refused, figures.requests),
                percent(figures.wrongful, figures.requests),
                percent(figures.asked, figures.requests),
                figures.messages as f64 / SECONDS as f64,
                percent(figures.served_on_return, figures.returned),
                percent(figures.admitted_tokens, LIMIT.rate * SECONDS),
            );
        }
    }
}
