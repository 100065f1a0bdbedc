//! What the cases of the review share: a record, HTTP/1.1 servers and clients, and the daemons under test.

pub mod client;
pub mod daemon;
pub mod engine;
pub mod http;
pub mod record;

use std::{thread, time::Duration};

/// Whether the case runs with its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps for some milliseconds.
pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Waits for a condition for at most ten seconds; ends the program with 2 if it isn't met.
pub fn wait_for<F>(
    what: &str,
    is_met: F,
) where
    F: Fn() -> bool,
{
    for _ in 0..1_000 {
        if is_met() {
            return;
        }
        pause(10);
    }
    eprintln!("not in time: {what}");
    std::process::exit(2);
}
