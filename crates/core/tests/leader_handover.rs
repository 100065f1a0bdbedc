//! When a leader hands over to a VM with more processor.

use jasmine_core::{clock::Millis, leadership::HandoverPolicy};

const WEAK: u32 = 12;
const STRONG: u32 = 50;

/// Asks each 300 ms for ten seconds; returns when a handover was due first.
fn first_due<F>(
    own: u32,
    strongest: F,
) -> Option<u64>
where
    F: Fn(u64) -> (Option<u32>, bool),
{
    let mut policy = HandoverPolicy::default();
    (0..10_000).step_by(300).find(|&at| {
        let (other, is_store_available) = strongest(at);
        policy.is_due(own, other, is_store_available, Millis(at))
    })
}

#[test]
fn a_weak_leader_hands_over_to_a_strong_vm() {
    // Guards against a VM with little processor that was elected in an outage and leads for good.
    let due = first_due(WEAK, |at| ((at >= 900).then_some(STRONG), true));
    assert_eq!(due, Some(3_000));
}

#[test]
fn leadership_stays_among_equals() {
    // Guards against leadership that moves to and fro between VMs of about the same size.
    assert_eq!(first_due(STRONG, |_| (Some(STRONG), true)), None);
    assert_eq!(first_due(STRONG, |_| (Some(STRONG + 40), true)), None);
    assert_eq!(first_due(WEAK, |_| (None, true)), None);
    assert_eq!(first_due(0, |_| (Some(0), true)), None);
}

#[test]
fn no_handover_while_the_store_fails() {
    // Guards against a leader that gives up its lease while nobody can take a new one.
    assert_eq!(first_due(WEAK, |_| (Some(STRONG), false)), None);
    let due = first_due(WEAK, |at| (Some(STRONG), at % 1_500 != 0));
    assert_eq!(due, None);
}
