//! Rate rights over a small fleet: scripts of `scripts/rate_rights`.
//!
//! After each command the fleet is checked: shares sum to at most the whole, and no account used
//! more than its burst and rate in any window.

mod support;

#[test]
fn rights_scripts() {
    support::run_scripts("tests/scripts/rate_rights");
}
