//! Quarantined parts that the store holds and the leader doesn't know.

use {
    jasmine_conf::settings::ColdUpstreamSettings,
    jasmine_core::{
        ids::PartId,
        quarantine::{PartSet, VerdictSource},
        scheduler::SchedulerSettings,
    },
    jasmine_entry::scheduling::LocalScheduler,
    tokio::sync::mpsc,
};

fn scheduler() -> LocalScheduler {
    let (tasks, _engines) = mpsc::unbounded_channel();
    let settings = SchedulerSettings::default();
    LocalScheduler::new(settings, ColdUpstreamSettings::default(), tasks)
}

fn part(id: u64) -> PartSet {
    PartSet::from([PartId::Part(id)])
}

#[test]
fn a_leader_that_has_not_read_the_store_releases_nothing() {
    // Guards against followers that take a part out of quarantine, and then out of the store, as a new leader lacks it.
    let follower = scheduler();
    follower.note_stored_quarantine(part(1));
    follower.add_quarantine(part(1), VerdictSource::Store);
    follower.add_quarantine(part(2), VerdictSource::Leader);
    follower.replace_quarantine(&[part(3)]);
    let mut known = follower.quarantined();
    known.sort();
    assert_eq!(known, [part(1), part(3)]);
}
