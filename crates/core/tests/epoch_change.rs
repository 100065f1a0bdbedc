//! Membership epochs over a small fleet: scripts of `scripts/epoch_change`.
//!
//! After each command the fleet is checked: shares sum to at most the whole, and no account used
//! more than its burst and rate in any window.

mod support;

#[test]
fn epoch_scripts() {
    support::run_scripts("tests/scripts/epoch_change");
}
