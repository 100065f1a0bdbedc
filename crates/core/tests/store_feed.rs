//! Choice of the source of store changes, and the changes that a VM serves to others.

use jasmine_core::{
    clock::Millis,
    feed::{
        Change, ChangesSince, MAX_MINOR_CHANGES, RecentChanges, Source, SourceChoice,
        SourceFailure, VmRank,
    },
};

const NOW: Millis = Millis(100_000);

/// Sorted ranks of `count` VMs.
fn ranks(count: usize) -> Vec<VmRank> {
    let mut ranks: Vec<VmRank> = (0..count)
        .map(|number| VmRank::new(&format!("vm-{number}"), false))
        .collect();
    ranks.sort_unstable();
    ranks
}

fn others(
    ranks: &[VmRank],
    me: VmRank,
) -> Vec<VmRank> {
    ranks.iter().copied().filter(|&rank| rank != me).collect()
}

fn record(
    recent: &mut RecentChanges<u64>,
    key: &str,
    revision: u64,
    is_major: bool,
    now: Millis,
) {
    let change = Change {
        revision,
        value: revision,
    };
    assert!(recent.record_change(key, change, is_major, now));
    recent.advance(revision, now);
}

#[test]
fn one_of_a_data_centre_reads_the_store() {
    let ranks = ranks(27);
    let sources: Vec<Source> = ranks
        .iter()
        .map(|&me| SourceChoice::new(me).choose(others(&ranks, me), NOW))
        .collect();
    let readers = sources.iter().filter(|&&source| source == Source::Store);
    assert_eq!(readers.count(), 1);
    assert_eq!(sources[0], Source::Store);
    assert!(
        sources[1..]
            .iter()
            .all(|&source| source == Source::Vm(ranks[0]))
    );
}

#[test]
fn weak_vms_read_last() {
    // The VM that serves a data centre sends each change to all others, so it must not be a weak one.
    let strong = VmRank::new("any", false);
    let weak = (0..50).map(|number| VmRank::new(&format!("vm-{number}"), true));
    assert!(weak.into_iter().all(|weak| strong < weak));
}

#[test]
fn the_scheduling_vm_reads_the_store() {
    let ranks = ranks(5);
    let choice = SourceChoice::new(ranks[4]);
    assert_eq!(
        choice.choose_for_scheduler(others(&ranks, ranks[4]), NOW),
        Some(Source::Store)
    );
}

#[test]
fn a_vm_that_lost_the_store_is_skipped() {
    // A serving VM that has lost the store must not keep changes from VMs that can reach the store.
    let ranks = ranks(5);
    let mut choice = SourceChoice::new(ranks[3]);
    choice.vm_failed(ranks[0], SourceFailure::Stale, NOW);
    let choose = |choice: &SourceChoice, now| choice.choose(others(&ranks, ranks[3]), now);
    assert_eq!(choose(&choice, NOW), Source::Vm(ranks[1]));
    choice.vm_failed(ranks[1], SourceFailure::NotReading, NOW);
    choice.vm_failed(ranks[2], SourceFailure::Unreachable, NOW);
    assert_eq!(choose(&choice, NOW), Source::Store);
    assert_eq!(choose(&choice, NOW + Millis(1_000)), Source::Vm(ranks[1]));
    assert_eq!(choose(&choice, NOW + Millis(3_000)), Source::Vm(ranks[0]));
}

#[test]
fn without_the_store_another_vm_is_asked() {
    // A VM that the store refuses must get changes from the next VM in order.
    let ranks = ranks(4);
    let mut choice = SourceChoice::new(ranks[0]);
    let choose = |choice: &SourceChoice, now| choice.choose(others(&ranks, ranks[0]), now);
    assert_eq!(choose(&choice, NOW), Source::Store);
    choice.store_failed(NOW);
    assert_eq!(choose(&choice, NOW), Source::Vm(ranks[1]));
    choice.vm_failed(ranks[1], SourceFailure::Stale, NOW);
    choice.vm_failed(ranks[2], SourceFailure::Stale, NOW);
    assert_eq!(choose(&choice, NOW), Source::Store, "no VM has changes");
    choice.store_responded();
    assert_eq!(choose(&choice, NOW), Source::Store);
}

#[test]
fn only_the_last_change_of_a_key_is_returned() {
    let mut recent = RecentChanges::default();
    recent.reset(10);
    record(&mut recent, "a", 11, true, NOW);
    record(&mut recent, "b", 12, true, NOW);
    record(&mut recent, "a", 13, true, NOW);
    assert_eq!(recent.since(10, None), ChangesSince::Changes(vec![12, 13]));
    assert_eq!(recent.since(12, None), ChangesSince::Changes(vec![13]));
    assert_eq!(recent.since(13, None), ChangesSince::Changes(vec![]));
    let old = Change {
        revision: 12,
        value: 12,
    };
    assert!(
        !recent.record_change("a", old, true, NOW),
        "a later one is known"
    );
}

#[test]
fn keys_that_came_and_went_are_missing() {
    // Guards against VMs that keep what was deleted while the VM they follow had lost the history.
    let mut recent = RecentChanges::default();
    recent.reset(10);
    record(&mut recent, "a", 11, true, NOW);
    recent.note_gap(11, 30);
    record(&mut recent, "b", 25, true, NOW);
    recent.advance(30, NOW);
    assert_eq!(recent.since(11, None), ChangesSince::Changes(vec![25]));
    assert_eq!(recent.since(20, None), ChangesSince::Gone);
    assert_eq!(recent.since(30, None), ChangesSince::Changes(vec![]));
}

#[test]
fn minor_changes_are_returned_on_request_only() {
    let mut recent = RecentChanges::default();
    recent.reset(10);
    record(&mut recent, "a", 11, false, NOW);
    assert_eq!(recent.since(10, None), ChangesSince::Changes(vec![]));
    assert_eq!(recent.since(10, Some(10)), ChangesSince::Changes(vec![11]));
}

#[test]
fn a_minor_change_does_not_hide_a_major_one() {
    // A minor change must not hide an earlier major one, such as that an upstream is draining.
    let mut recent = RecentChanges::default();
    recent.reset(10);
    record(&mut recent, "a", 11, true, NOW);
    record(&mut recent, "a", 12, false, NOW);
    assert_eq!(recent.since(10, None), ChangesSince::Changes(vec![12]));
    assert_eq!(recent.since(11, None), ChangesSince::Changes(vec![]));
}

#[test]
fn expired_history_is_reported_as_missing() {
    // A VM that was paused for long must not take missing history for the absence of changes.
    let mut recent = RecentChanges::default();
    recent.reset(10);
    record(&mut recent, "a", 11, true, NOW);
    record(&mut recent, "b", 12, true, NOW + Millis(11_000));
    assert_eq!(recent.since(10, None), ChangesSince::Gone);
    assert_eq!(recent.since(9, Some(11)), ChangesSince::Gone);
    assert_eq!(recent.since(11, None), ChangesSince::Changes(vec![12]));
}

#[test]
fn a_scheduler_returns_to_the_store() {
    // After a store outage no VM has changes, so the scheduling VM must retry the store soon.
    let others: Vec<VmRank> = (0..4)
        .map(|number| VmRank::new(&format!("vm-{number}"), false))
        .collect();
    let mut choice = SourceChoice::new(VmRank::new("me", false));
    let mut asked_at = Vec::new();
    let mut now = NOW;
    while now < NOW + Millis(6_000) {
        match choice.choose_for_scheduler(others.iter().copied(), now) {
            Some(Source::Store) => {
                asked_at.push(now);
                now += Millis(300);
                choice.store_failed(now);
            }
            Some(Source::Vm(rank)) => choice.vm_failed(rank, SourceFailure::Stale, now),
            None => now += Millis(60),
        }
    }
    let longest = asked_at.windows(2).map(|two| two[1].since(two[0])).max();
    assert!(longest <= Some(Millis(1_000)), "{longest:?}");
    assert!(asked_at.len() >= 6, "{asked_at:?}");
}

#[test]
fn a_scheduler_without_the_store_asks_others() {
    // If only the scheduling VM has lost the store, it must ask other VMs immediately, and retry a VM
    // that starts reading sooner than the store.
    let other = VmRank::new("other", false);
    let mut choice = SourceChoice::new(VmRank::new("me", false));
    assert_eq!(
        choice.choose_for_scheduler([other], NOW),
        Some(Source::Store)
    );
    choice.store_failed(NOW);
    assert_eq!(
        choice.choose_for_scheduler([other], NOW),
        Some(Source::Vm(other))
    );
    choice.vm_starting(other, NOW);
    assert_eq!(choice.choose_for_scheduler([other], NOW + Millis(60)), None);
    assert_eq!(
        choice.choose_for_scheduler([other], NOW + Millis(150)),
        Some(Source::Vm(other))
    );
}

/// Guards against a response of unbounded size when thousands of upstreams change at once.
#[test]
fn minor_changes_per_response_are_limited() {
    let mut recent = RecentChanges::default();
    recent.reset(10);
    for number in 0..3_000 {
        record(
            &mut recent,
            &format!("key-{number}"),
            11 + number,
            false,
            NOW,
        );
    }
    record(&mut recent, "left", 4_000, true, NOW);
    let mut minor = 10;
    let mut received = 0;
    while received < 3_000 {
        let ChangesSince::Changes(changes) = recent.since(10, Some(minor)) else {
            panic!("recent changes must be known");
        };
        assert_eq!(
            changes.last(),
            Some(&4_000),
            "the major change must be included"
        );
        assert!(changes.len() <= MAX_MINOR_CHANGES + 1);
        received += changes.len() - 1;
        minor = changes[changes.len() - 2];
    }
    assert_eq!(minor, 3_010);
}

/// Guards against a full read of the store because expired minor changes are missing.
#[test]
fn expired_minor_changes_do_not_force_a_full_read() {
    let mut recent = RecentChanges::default();
    recent.reset(10);
    record(&mut recent, "a", 11, false, NOW);
    record(&mut recent, "b", 12, false, NOW + Millis(11_000));
    assert_eq!(recent.since(10, None), ChangesSince::Changes(vec![]));
    assert_eq!(recent.since(10, Some(10)), ChangesSince::Changes(vec![12]));
}
