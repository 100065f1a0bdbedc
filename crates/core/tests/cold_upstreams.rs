//! The request rate of cold upstreams: one bound over all VMs, whoever decides.

mod deciding_vms;
mod scheduler_world;

use {
    deciding_vms::{Histories, flood, most_in, vms},
    jasmine_core::{
        clock::Millis,
        ids::{DataCentreId, UpstreamId},
        scheduler::{
            AdmissionShare, Announcement, COLD_WINDOW, ColdLimit, Outcome, RateShare, Scheduler,
            SchedulerSettings, UpstreamStatus,
        },
    },
    scheduler_world::{CALLS, HERE, World, call, upstream},
    std::collections::HashMap,
};

const UPSTREAM: UpstreamId = UpstreamId(1);
const LIMIT: ColdLimit = ColdLimit {
    per_second: 17.0,
    duration: Millis(3_000),
};
/// The time in which the limit holds.
const SECOND: Millis = Millis(1_000);
const NO_END: Millis = Millis(u64::MAX);

fn world(share: AdmissionShare) -> World {
    let mut world = World::leading(0);
    prepare(&mut world.scheduler, share);
    world
}

fn prepare(
    scheduler: &mut Scheduler,
    share: AdmissionShare,
) {
    scheduler.set_cold_limits(HashMap::from([(CALLS, LIMIT)]));
    scheduler.set_admission_share(share);
}

const fn scheduler_share() -> AdmissionShare {
    AdmissionShare::Scheduler {
        took_over_at: None,
        lease_until: NO_END,
    }
}

fn server(
    cold: u64,
    started: u64,
) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: 77,
        service: CALLS,
        slots: 100,
        cold: Millis(cold),
        started_unix_ms: Some(started),
        ..upstream(None)
    }
}

#[test]
fn a_cold_upstream_gets_a_bounded_rate() {
    // Guards against a burst that crashes an upstream which has just started.
    let mut world = world(scheduler_share());
    world.set(UPSTREAM, &server(3_000, 1));
    let sent = flood(&mut world, 2_500);
    assert!(most_in(SECOND, &sent) <= 10, "{sent:?}");
    assert!(sent.len() >= 16, "{sent:?}");
    world.advance(1_000);
    let warm = flood(&mut world, 2_000);
    assert!(warm.len() > 20, "{} requests once it is warm", warm.len());
}

#[test]
fn an_upstream_that_turns_cold_unannounced_keeps_the_limit() {
    // Guards against the time until an entry says that an upstream is cold.
    let mut world = world(scheduler_share());
    world.set(UPSTREAM, &server(0, 1));
    let sent = flood(&mut world, 3_000);
    assert!(most_in(SECOND, &sent) <= 17, "{sent:?}");
}

#[test]
fn upstreams_of_a_data_centre_are_cold_after_an_evacuation() {
    // Guards against full load on upstreams that were restarted while nothing was sent to them.
    let mut world = world(scheduler_share());
    world.set(UPSTREAM, &server(0, 1));
    let now = world.now;
    world
        .scheduler
        .begin_evacuation(HERE, Announcement::Found, now);
    world.advance(2_000);
    let now = world.now;
    world.scheduler.end_evacuation(HERE, now);
    let sent = flood(&mut world, 2_500);
    assert!(most_in(SECOND, &sent) <= 10, "{sent:?}");
    assert!(!sent.is_empty());
}

#[test]
fn an_upstream_that_was_unreachable_counts_as_cold() {
    // Guards against the time between a restart and the entry that tells of it.
    let mut world = world(scheduler_share());
    world.set(UPSTREAM, &server(0, 1));
    let number = world.place(call(world.now));
    world.end(number, Outcome::Unreachable);
    world.advance(300);
    let sent = flood(&mut world, 2_000);
    assert!(most_in(SECOND, &sent) <= 10, "{sent:?}");
}

#[test]
fn a_successor_waits_until_earlier_admissions_have_aged() {
    // Guards against two schedulers that each use the whole part within one second.
    let took_over_at = Millis(100_000);
    let usable_from = took_over_at + COLD_WINDOW;
    let mut world = world(AdmissionShare::Scheduler {
        took_over_at: Some(took_over_at),
        lease_until: NO_END,
    });
    world.set(UPSTREAM, &server(60_000, 1));
    let sent = flood(&mut world, 2_000);
    assert!(sent.iter().all(|&at| at >= usable_from), "{sent:?}");
    assert!(!sent.is_empty());
}

#[test]
fn a_scheduler_without_a_valid_lease_sends_nothing_to_cold_upstreams() {
    // Guards against a scheduler that was suspended and goes on beside its successor.
    let mut world = world(AdmissionShare::Scheduler {
        took_over_at: None,
        lease_until: Millis(100_500),
    });
    world.set(UPSTREAM, &server(60_000, 1));
    let sent = flood(&mut world, 3_000);
    assert!(sent.iter().all(|&at| at < Millis(100_500)), "{sent:?}");
}

#[test]
fn vms_in_standalone_mode_share_a_part() {
    // Guards against VMs without a scheduler that each use the limit for themselves.
    for count in [1, 3, 8, 64, 300] {
        let mut all = Vec::new();
        for me in vms(count) {
            let share = AdmissionShare::Standalone {
                me,
                vms: vms(count),
            };
            let mut world = World::with(0, SchedulerSettings::default(), false);
            prepare(&mut world.scheduler, share);
            let part = RateShare::Part(count);
            world.scheduler.set_role(false, part, world.now);
            world.set(UPSTREAM, &server(60_000, 1));
            all.extend(flood(&mut world, 1_300));
        }
        // The rest of the limit is the scheduler's part, with a margin.
        assert!(most_in(SECOND, &all) <= 5, "{count} VMs: {all:?}");
        assert!(!all.is_empty(), "{count} VMs");
    }
}

#[test]
fn a_vm_that_knows_no_others_sends_nothing_to_cold_upstreams() {
    // Guards against a VM whose list of VMs is old or empty and that takes itself for the only one.
    let unlisted = (10..20).map(|me| AdmissionShare::Standalone { me, vms: vms(3) });
    for share in unlisted.chain([AdmissionShare::None]) {
        let mut world = world(share);
        world.set(UPSTREAM, &server(60_000, 1));
        assert_eq!(flood(&mut world, 1_500), Vec::new());
    }
}

#[test]
fn every_history_of_takeovers_keeps_the_limit() {
    // Guards against an order of kills, suspensions, handovers and cuts in which the parts of
    // several deciding VMs add up to more than the limit.
    let prepare = |world: &mut World| {
        prepare(&mut world.scheduler, AdmissionShare::None);
        world.set(UPSTREAM, &server(600_000, 1));
    };
    let histories = Histories {
        depth: 4,
        pause: COLD_WINDOW + Millis(50),
        vms: 4,
        overlap: Millis(100),
        prepare: &prepare,
    };
    let mut served = 0;
    for (history, sent) in histories.play() {
        let most = most_in(SECOND, &sent);
        assert!(most <= 17, "history {history}: {most} requests in a second");
        served += sent.len();
    }
    let count = histories.count();
    assert!(served > count * 20, "{served} in {count} histories");
}

#[test]
fn other_data_centres_are_not_cold() {
    let mut world = world(scheduler_share());
    let far = UpstreamStatus {
        data_centre: Some(DataCentreId(1)),
        ..server(0, 1)
    };
    world.set(UPSTREAM, &far);
    let now = world.now;
    world
        .scheduler
        .begin_evacuation(HERE, Announcement::Found, now);
    world.scheduler.end_evacuation(HERE, now);
    let sent = flood(&mut world, 1_000);
    assert!(sent.len() > 10, "{sent:?}");
}
