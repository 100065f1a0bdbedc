//! Property tests of rate rights and epochs: random event sequences in a small fleet.
//!
//! CI runs a fixed set of seeds. A long run: `JASMINE_ORDERS=200000 cargo test --release -p
//! jasmine-core --test generated_orders`; `JASMINE_FIRST_ORDER` sets the first seed. Add the seeds
//! of failures to `ONCE_FAILED`.

mod support;

use {
    bolero::generator::bolero_generator::driver::{Driver, Options, Rng},
    jasmine_core::{clock::Millis, rights::RightsSettings},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::panic::{AssertUnwindSafe, catch_unwind},
    support::{Event, Fleet, VMS},
};

/// Default number of event sequences.
const ORDERS: u64 = 300;

/// Events per sequence.
const EVENTS: usize = 400;

/// Regression seeds, which always run.
const ONCE_FAILED: [u64; 0] = [];

#[test]
fn fleet_orders() {
    let orders = number("JASMINE_ORDERS").unwrap_or(ORDERS);
    let first = number("JASMINE_FIRST_ORDER").unwrap_or(0);
    let (mut failed, mut ran) = (Vec::new(), 0);
    for seed in ONCE_FAILED.into_iter().chain(first..first + orders) {
        match catch_unwind(AssertUnwindSafe(|| run_order(seed))) {
            Ok(requests) => ran += requests,
            Err(_) => failed.push(seed),
        }
    }
    println!("{orders} orders, {ran} requests ran");
    assert!(
        failed.is_empty(),
        "{} failed, seeds {failed:?}",
        failed.len()
    );
}

fn run_order(seed: u64) -> usize {
    let options = Options::default().with_max_len(1 << 20);
    let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &options);
    let mut fleet = Fleet::new(VMS, RightsSettings::default());
    fleet.run(Millis(2000));
    for _ in 0..EVENTS {
        let event: Event = driver.produce().expect("enough bytes");
        fleet.apply(event);
        fleet.check_shares();
    }
    fleet.check_limits();
    fleet.recover();
    fleet.run(Millis(35_000));
    fleet.check_shares();
    fleet.check_limits();
    fleet.check_recovered();
    fleet.ran()
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
