//! Which new connections of callers a VM takes.

use jasmine_core::{clock::Millis, ingress::ConnectionAdmission};

const FILES: usize = 328;
/// Half of the files that are left for callers.
const MAX_OPEN: usize = 100;
/// Shortest time for which a ready VM has to take a connection.
const CONTACT: u64 = 3_000;

#[test]
fn files_are_left_for_upstreams() {
    // Guards against callers' connections that leave no files to send their requests on.
    let mut admission = ConnectionAdmission::new(FILES);
    let now = Millis(1_000);
    let taken = (0..1_000).filter(|_| admission.admit(now)).count();
    assert_eq!(taken, MAX_OPEN);
    admission.close();
    assert!(admission.admit(now), "one was closed");
    assert!(!admission.admit(now));
}

#[test]
fn an_overloaded_vm_takes_few() {
    // Guards against taking requests that wait unread, and against a ready VM that takes none at all.
    let mut admission = ConnectionAdmission::new(100_000);
    admission.note_delay(Millis(400), Millis(9_950));
    let mut taken = 0;
    for ms in 0..CONTACT {
        let now = Millis(10_000 + ms);
        if ms % 50 == 0 {
            admission.note_delay(Millis(400), now);
        }
        taken += usize::from(admission.admit(now));
    }
    assert!(
        (1..=CONTACT as usize / 50).contains(&taken),
        "{taken} taken"
    );
    let later = Millis(10_000 + CONTACT + 1_000);
    assert!((0..100).all(|_| admission.admit(later)), "it has recovered");
}

#[test]
fn small_delays_turn_nobody_away() {
    // Guards against turning callers away because a task ran a little late.
    let mut admission = ConnectionAdmission::new(100_000);
    for ms in 0..CONTACT {
        let now = Millis(10_000 + ms);
        admission.note_delay(Millis(100), now);
        assert!(admission.admit(now), "at {now}");
    }
}

#[test]
fn a_suspension_is_no_overload() {
    // Guards against a VM that turns callers away because its process was suspended for a while.
    let mut admission = ConnectionAdmission::new(100_000);
    admission.note_delay(Millis(0), Millis(10_000));
    admission.note_delay(Millis(4_000), Millis(14_000));
    for ms in (0..500).step_by(50) {
        let now = Millis(14_000 + ms);
        assert!((0..10).all(|_| admission.admit(now)), "at {now}");
        admission.note_delay(Millis(2), now);
    }
}
