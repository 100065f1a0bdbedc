//! Tests of rate rights in a small fleet, by the scripts in `scripts/rate_rights`.
//!
//! Checked after each command: the shares add up to at most the whole, and no account exceeds its
//! rate and burst in any window.

mod support;

#[test]
fn rights_scripts() {
    support::run_scripts("tests/scripts/rate_rights");
}
