//! Generated sequences of events around one forwarded request, with its guarantees as properties.
//!
//! CI runs fixed seeds. For a long run use `JASMINE_ORDERS=1000000 cargo test --release -p jasmine-core
//! --test forward_orders`; `JASMINE_FIRST_ORDER` sets the first seed. Add seeds that fail to the list
//! below.

mod forward;

use {
    bolero::generator::bolero_generator::driver::{Driver, Options, Rng},
    forward::{Op, World},
    jasmine_core::forward::{Delivery, Repeat},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::panic::{AssertUnwindSafe, catch_unwind},
};

/// Number of sequences that CI runs for each kind of request.
const ORDERS: u64 = 5_000;
/// Number of events in one sequence.
const EVENTS: usize = 60;
/// Seeds that once failed.
const FAILED_SEEDS: [u64; 0] = [];

const KINDS: [(Repeat, Delivery); 3] = [
    (Repeat::Idempotent, Delivery::Streamed),
    (Repeat::Idempotent, Delivery::Buffered),
    (Repeat::Once, Delivery::Buffered),
];

#[test]
fn request_orders() {
    let orders = number("JASMINE_ORDERS").unwrap_or(ORDERS);
    let first = number("JASMINE_FIRST_ORDER").unwrap_or(0);
    let mut failed = Vec::new();
    let mut finished = 0;
    for seed in FAILED_SEEDS.into_iter().chain(first..first + orders) {
        for kind in KINDS {
            match catch_unwind(AssertUnwindSafe(|| run_sequence(seed, kind))) {
                Ok(is_complete) => finished += u64::from(is_complete),
                Err(_) => failed.push((seed, kind)),
            }
        }
    }
    println!("{} sequences, {finished} complete responses", orders * 3);
    assert!(
        failed.is_empty(),
        "{} failed: {:?}",
        failed.len(),
        &failed[..failed.len().min(9)]
    );
}

/// Runs one sequence; returns whether the caller got a complete response.
fn run_sequence(
    seed: u64,
    (repeat, delivery): (Repeat, Delivery),
) -> bool {
    let options = Options::default().with_max_len(1 << 16);
    let mut driver = Rng::new(ChaCha8Rng::seed_from_u64(seed), &options);
    let mut world = World::new(repeat, delivery);
    for _ in 0..EVENTS {
        let op: Op = driver.produce().expect("enough bytes");
        world.apply(op);
    }
    world.run_to_deadline();
    world.is_complete()
}

fn number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}
