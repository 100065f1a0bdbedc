//! When a VM takes its links to the upstreams for lost, and which VMs it offers its requests to.

use jasmine_core::{
    clock::Millis,
    ids::UpstreamId,
    reachability::{
        LinkStatus::{self, Lost, Suspect, Up},
        ProbeResult::{self, Answered, Refused, Silent},
        RelayPeer, Relays, UpstreamLinks,
    },
};

/// The status after a test begun by a failure at 10 s, with something heard at `heard_at`.
fn after_test(
    results: &[ProbeResult],
    known: usize,
    heard_at: u64,
) -> LinkStatus {
    let mut links = UpstreamLinks::default();
    assert!(links.note_failure(Millis(10_000)));
    assert_eq!(links.status(), Suspect);
    links.note_heard(Millis(heard_at));
    let ids = (1..).map(UpstreamId);
    let results: Vec<_> = ids.zip(results.iter().copied()).collect();
    links.note_test(&results, known, Millis(10_450));
    links.status()
}

#[test]
fn failed_upstreams_are_not_lost_links() {
    // Guards against sending all requests through other VMs because some upstreams are down or busy.
    assert_eq!(after_test(&[Refused, Refused, Answered], 9, 9_900), Up);
    assert_eq!(after_test(&[Refused], 9, 9_900), Up);
    assert_eq!(after_test(&[Silent, Silent, Silent], 9, 10_200), Up);
    assert_eq!(after_test(&[], 0, 9_900), Up);
}

#[test]
fn links_are_lost_if_no_upstream_answers() {
    // Guards against a VM that goes on to use links which are cut, reset, or only live on where they are open.
    assert_eq!(after_test(&[Refused, Refused, Refused], 9, 10_200), Lost);
    assert_eq!(after_test(&[Silent, Silent, Silent], 9, 9_900), Lost);
    assert_eq!(after_test(&[Silent, Refused], 9, 9_900), Lost);
    assert_eq!(after_test(&[Refused], 1, 9_900), Lost);
}

#[test]
fn one_answer_restores_the_links() {
    let mut links = UpstreamLinks::default();
    let refused = [(UpstreamId(1), Refused), (UpstreamId(2), Refused)];
    links.note_failure(Millis(1_000));
    links.note_test(&refused, 3, Millis(1_010));
    links.note_test(&refused, 3, Millis(1_500));
    assert_eq!(links.status(), Lost);
    links.note_test(&[(UpstreamId(3), Answered)], 3, Millis(2_000));
    assert_eq!(links.status(), Up);
    assert!(!links.note_failure(Millis(2_500)), "just tested");
    assert!(links.note_failure(Millis(3_000)));
}

#[test]
fn silence_counts_only_of_all_upstreams() {
    let mut links = UpstreamLinks::default();
    links.note_heard(Millis(5_000));
    assert!(!links.note_silence(Millis(5_200)));
    assert!(links.note_silence(Millis(5_250)));
}

#[test]
fn requests_go_to_vms_that_relay() {
    // Guards against offering requests again and again to VMs of the own data centre that are cut off too.
    let peer = |number: u16, is_local| RelayPeer {
        address: ([127, 0, 0, 1], number).into(),
        is_local,
    };
    let peers: Vec<_> = (1..=20).map(|number| peer(number, number <= 10)).collect();
    let mut relays = Relays::default();
    relays.set_peers(&peers);
    for (round, now) in (0..20).zip((0..).step_by(500)) {
        let now = Millis(now);
        for address in relays.to_ask(round) {
            relays.note(address, address.port() == 17, now);
        }
        relays.end_turn(now);
        let best = relays.candidates(round, now, |_| true).first().copied();
        let is_found = best.is_some_and(|best| best.port() == 17);
        assert_eq!(relays.is_none_known(), !relays.has_relay(now));
        if is_found {
            let other = relays.candidates(round, now, |address| address.port() != 17);
            assert!(other.iter().all(|address| address.port() != 17));
            return;
        }
    }
    panic!("the only VM that relays is never found");
}
