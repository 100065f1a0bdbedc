//! Upstreams that fall over if they have to turn too many requests away in a second.

mod deciding_vms;
mod scheduler_world;

use {
    deciding_vms::{most_in, vms},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{
            AdmissionShare, Outcome, RateShare, SchedulerSettings, UpstreamSignals, UpstreamStatus,
        },
    },
    scheduler_world::{CALLS, World, call, upstream},
};

const UPSTREAM: UpstreamId = UpstreamId(1);
const OTHER: UpstreamId = UpstreamId(2);
const SLOTS: u32 = 6;
const MAX_REJECTIONS: u32 = 4;
const SECOND: Millis = Millis(1_000);
const ONLY_SCHEDULER: AdmissionShare = AdmissionShare::Scheduler {
    took_over_at: None,
    lease_until: Millis(u64::MAX),
};

fn server(started: u64) -> UpstreamStatus {
    UpstreamStatus {
        id_hash: 77,
        service: CALLS,
        slots: SLOTS,
        started_unix_ms: Some(started),
        ..upstream(None)
    }
}

/// Passes on a response of the upstream that states how many rejections it bears.
fn state(
    world: &mut World,
    max_rejections: Option<u32>,
) {
    let signals = UpstreamSignals {
        max_rejections,
        ..UpstreamSignals::default()
    };
    let now = world.now;
    let scheduler = &mut world.scheduler;
    scheduler.note_own_signals(UPSTREAM, &signals, now, now);
}

fn brittle_world(share: AdmissionShare) -> World {
    let is_leader = share == ONLY_SCHEDULER;
    let mut world = World::with(0, SchedulerSettings::default(), is_leader);
    world.scheduler.set_admission_share(share);
    world.set(UPSTREAM, &server(1));
    state(&mut world, Some(MAX_REJECTIONS));
    world
}

/// Places calls that don't end, and counts those that were sent.
fn count_sent(
    world: &mut World,
    calls: u32,
) -> u32 {
    let placed: Vec<_> = (0..calls).map(|_| world.place(call(world.now))).collect();
    let sent = placed
        .into_iter()
        .filter(|&number| world.sent_to(number).is_some());
    sent.count() as u32
}

#[test]
fn a_brittle_upstream_gets_as_many_as_it_has_slots() {
    // Guards against requests sent ahead, for which such an upstream has no room.
    let mut world = brittle_world(ONLY_SCHEDULER);
    assert_eq!(count_sent(&mut world, 30), SLOTS);
    let mut sound = brittle_world(ONLY_SCHEDULER);
    sound.advance(1);
    state(&mut sound, None);
    sound.advance(6_000);
    assert!(count_sent(&mut sound, 30) > SLOTS);
}

#[test]
fn its_service_is_taken_for_brittle() {
    // Guards against a burst to an upstream of the same service that hasn't answered yet.
    let mut world = brittle_world(ONLY_SCHEDULER);
    world.set(OTHER, &server(1));
    assert_eq!(count_sent(&mut world, 60), SLOTS * 2);
}

#[test]
fn vms_alone_share_its_slots() {
    // Guards against VMs without a scheduler that each fill the slots of a brittle upstream.
    let names = vms(4);
    let sent: u32 = names
        .iter()
        .map(|&me| {
            let mut world = brittle_world(AdmissionShare::Standalone {
                me,
                vms: names.clone(),
            });
            world
                .scheduler
                .set_role(false, RateShare::Part(4), world.now);
            count_sent(&mut world, 30)
        })
        .sum();
    assert!((1..=SLOTS).contains(&sent), "{sent}");
}

#[test]
fn rejections_slow_a_scheduler_down() {
    // Guards against an upstream that rejects what it gets and falls over again and again.
    let mut world = brittle_world(ONLY_SCHEDULER);
    let mut rejected = Vec::new();
    let mut open = Vec::new();
    let end = world.now + Millis(20_000);
    while world.now < end {
        open.push(world.place(call(world.now)));
        let sent: Vec<_> = open
            .iter()
            .copied()
            .filter(|&n| world.sent_to(n).is_some())
            .collect();
        open.retain(|number| !sent.contains(number));
        for number in sent {
            rejected.push(world.now);
            world.end(number, Outcome::Shed);
        }
        world.advance(10);
    }
    let most = most_in(SECOND, &rejected);
    assert!(most <= MAX_REJECTIONS as usize, "{most} in a second");
    assert!(rejected.len() > 10, "{}", rejected.len());
}
