//! Which idle timeouts callers may rely on.

use jasmine_core::{clock::Millis, ingress::IdleTimeouts};

#[test]
fn the_longest_since_counts() {
    // Guards against closing a connection by a timeout that is shorter than what its caller knows.
    let mut timeouts = IdleTimeouts::default();
    timeouts.replace(Millis(500), Millis(100));
    timeouts.replace(Millis(5_000), Millis(104));
    timeouts.replace(Millis(700), Millis(200));
    let longest = |since| timeouts.longest_since(Millis(since), Millis(600));
    assert_eq!(longest(50), Millis(5_000));
    assert_eq!(longest(104), Millis(5_000));
    assert_eq!(longest(105), Millis(700));
    assert_eq!(longest(201), Millis(600));
}

#[test]
fn shorter_ones_before_are_forgotten() {
    // Guards against a list that grows with each change of the configuration.
    let mut timeouts = IdleTimeouts::default();
    for number in 0..1_000 {
        timeouts.replace(Millis(500 + number % 4), Millis(number));
    }
    assert!(format!("{timeouts:?}").matches("Millis").count() <= 8);
    assert_eq!(timeouts.longest_since(Millis::ZERO, Millis(1)), Millis(503));
}
