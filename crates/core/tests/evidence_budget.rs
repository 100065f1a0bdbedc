//! How much VMs store of what they know about crashes.

use jasmine_core::{
    clock::Millis,
    quarantine::{EvidenceBudget, select_crashes},
};

/// Bytes a second that all VMs together may add to what each of them reads for control.
const MAX_BYTES_PER_S: usize = 16 << 10;

/// The bytes that a VM writes in so many seconds that has a new record of the largest size every 5 ms.
fn written(
    writers: u64,
    seconds: u64,
) -> usize {
    let mut budget = EvidenceBudget::default();
    let record = EvidenceBudget::max_record(writers);
    let mut bytes = 0;
    for at in (0..seconds * 1_000).step_by(5) {
        if budget.is_available(writers, Millis(at)) {
            budget.spend(record);
            bytes += record;
        }
    }
    bytes
}

#[test]
fn a_storm_of_crashes() {
    // Guards against records that fill the change feed of all VMs while upstreams crash one after the other.
    for writers in [1, 8, 195, 360] {
        let all = writers as usize * (written(writers, 70) - written(writers, 10));
        assert!(
            all <= 61 * MAX_BYTES_PER_S,
            "{writers} writers: {all} bytes in 60 s"
        );
    }
}

#[test]
fn a_first_crash() {
    // Guards against evidence that waits while nothing else was written.
    for writers in [1, 8, 195] {
        let mut budget = EvidenceBudget::default();
        assert!(budget.is_available(writers, Millis(7)));
        budget.spend(EvidenceBudget::max_record(writers));
        assert!(budget.is_available(writers, Millis(12)));
    }
}

#[test]
fn all_records_together() {
    // Guards against a store whose content grows with the square of the VMs.
    for writers in 1..=256 {
        let all = writers as usize * EvidenceBudget::max_record(writers);
        assert!(all <= 256 << 10, "{writers} writers: {all} bytes");
    }
}

#[test]
fn crashes_are_kept_whole() {
    // Guards against evidence that accuses few prompts of a crash that had many.
    assert_eq!(select_crashes(&[10, 20, 30], 100), [true, true, true]);
    assert_eq!(select_crashes(&[400, 50, 60], 100), [false, true, false]);
    assert_eq!(select_crashes(&[50, 50, 50], 100), [false, true, true]);
    assert_eq!(select_crashes(&[], 100), Vec::<bool>::new());
}
