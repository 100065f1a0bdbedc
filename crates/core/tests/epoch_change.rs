//! Tests of membership epochs in a small fleet, by the scripts in `scripts/epoch_change`.
//!
//! Checked after each command: the shares add up to at most the whole, and no account exceeds its
//! rate and burst in any window.

mod support;

#[test]
fn epoch_scripts() {
    support::run_scripts("tests/scripts/epoch_change");
}
