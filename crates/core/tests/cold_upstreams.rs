//! The request rate of cold upstreams: one bound over all VMs, whoever decides.

mod scheduler_world;

use {
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

/// Sends a call each 10 ms that ends at once; returns when calls were sent.
fn flood(
    world: &mut World,
    time: u64,
) -> Vec<Millis> {
    let mut sent = Vec::new();
    let mut open = Vec::new();
    let end = world.now + Millis(time);
    while world.now < end {
        open.push(world.place(call(world.now)));
        open.retain(|&number| {
            let is_sent = world.sent_to(number).is_some();
            if is_sent {
                sent.push(world.now);
                world.end(number, Outcome::Answered { took: Millis(5) });
            }
            !is_sent
        });
        world.advance(10);
    }
    sent
}

/// The most requests within any second.
fn most_in_a_second(sent: &[Millis]) -> usize {
    let after = |at: Millis| sent.iter().filter(move |&&t| t >= at && t < at + SECOND);
    sent.iter()
        .map(|&at| after(at).count())
        .max()
        .unwrap_or_default()
}

#[test]
fn a_cold_upstream_gets_a_bounded_rate() {
    // Guards against a burst that crashes an upstream which has just started.
    let mut world = world(scheduler_share());
    world.set(UPSTREAM, &server(3_000, 1));
    let sent = flood(&mut world, 2_500);
    assert!(most_in_a_second(&sent) <= 10, "{sent:?}");
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
    assert!(most_in_a_second(&sent) <= 17, "{sent:?}");
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
    assert!(most_in_a_second(&sent) <= 10, "{sent:?}");
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
    assert!(most_in_a_second(&sent) <= 10, "{sent:?}");
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

/// Names of VMs, by their hashes.
fn vms(count: u64) -> Vec<u64> {
    (1..=count).collect()
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
        assert!(most_in_a_second(&all) <= 5, "{count} VMs: {all:?}");
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

/// What happens to the deciding VMs between two bursts of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// Nothing for half a second.
    Wait,
    /// The scheduler is killed; another VM is elected when its lease has lapsed.
    KillScheduler,
    /// The scheduler is suspended past its lease and resumes beside its successor.
    SuspendScheduler,
    /// Leadership is handed to another VM at once.
    HandOver,
    /// Half of the VMs lose the scheduler and decide alone.
    CutHalf,
}

const CHANGES: [Change; 5] = [
    Change::Wait,
    Change::KillScheduler,
    Change::SuspendScheduler,
    Change::HandOver,
    Change::CutHalf,
];
/// Changes in one history.
const DEPTH: u32 = 4;
const LEASE: Millis = Millis(1_200);

/// A few VMs before one cold upstream, each with as many calls as it may send.
struct Fleet {
    vms: Vec<World>,
    alone: Vec<bool>,
    leaders: Vec<usize>,
    now: Millis,
    sent: Vec<Millis>,
}

impl Fleet {
    fn new(count: u64) -> Self {
        let vms: Vec<World> = vms(count)
            .into_iter()
            .map(|_| {
                let mut world = World::with(0, SchedulerSettings::default(), false);
                prepare(&mut world.scheduler, AdmissionShare::None);
                world.set(UPSTREAM, &server(600_000, 1));
                world
            })
            .collect();
        let mut fleet = Self {
            alone: vec![false; vms.len()],
            now: vms[0].now,
            vms,
            leaders: Vec::new(),
            sent: Vec::new(),
        };
        fleet.elect(0, RateShare::Fresh);
        fleet
    }

    /// Makes a VM the scheduler; earlier ones go on until they notice.
    fn elect(
        &mut self,
        vm: usize,
        share: RateShare,
    ) {
        let took_over_at = match share {
            RateShare::Fresh => None,
            RateShare::TakenOver | RateShare::Part(_) => Some(self.now),
        };
        let share = AdmissionShare::Scheduler {
            took_over_at,
            lease_until: self.now + LEASE,
        };
        self.vms[vm].scheduler.set_admission_share(share);
        self.alone[vm] = false;
        self.leaders.push(vm);
    }

    fn set_alone(
        &mut self,
        vm: usize,
    ) {
        let share = AdmissionShare::Standalone {
            me: vm as u64 + 1,
            vms: vms(self.vms.len() as u64),
        };
        self.vms[vm].scheduler.set_admission_share(share);
        self.alone[vm] = true;
    }

    /// Advances all VMs; those that decide get a call each 25 ms.
    fn run(
        &mut self,
        time: u64,
    ) {
        let end = self.now + Millis(time);
        while self.now < end {
            for vm in 0..self.vms.len() {
                let world = &mut self.vms[vm];
                if self.alone[vm] || self.leaders.contains(&vm) {
                    let number = world.place(call(world.now));
                    if world.sent_to(number).is_some() {
                        self.sent.push(self.now);
                    }
                    world.end(number, Outcome::Abandoned);
                }
                world.advance(25);
            }
            self.now += Millis(25);
        }
    }

    /// Renews the lease of the latest scheduler.
    fn renew(&mut self) {
        let Some(&vm) = self.leaders.last() else {
            return;
        };
        // Only a scheduler that took over a window ago or earlier is renewed.
        let share = AdmissionShare::Scheduler {
            took_over_at: None,
            lease_until: self.now + LEASE,
        };
        self.vms[vm].scheduler.set_admission_share(share);
    }

    fn apply(
        &mut self,
        change: Change,
        step: usize,
    ) {
        let old = *self.leaders.last().unwrap();
        let next = (old + 1 + step) % self.vms.len();
        match change {
            Change::Wait => {}
            Change::KillScheduler => {
                self.leaders.clear();
                let lost: Vec<usize> = (0..self.vms.len()).filter(|&vm| vm != old).collect();
                for vm in lost {
                    self.set_alone(vm);
                }
                self.run(LEASE.0);
                self.elect(next, RateShare::TakenOver);
                self.alone.fill(false);
            }
            Change::SuspendScheduler => {
                // Its lease is not renewed, and it goes on deciding for its own callers.
                self.run(LEASE.0);
                self.elect(next, RateShare::TakenOver);
                self.run(100);
                self.leaders.retain(|&vm| vm == next);
            }
            Change::HandOver => {
                self.leaders.clear();
                self.elect(next, RateShare::TakenOver);
            }
            Change::CutHalf => {
                for vm in (0..self.vms.len()).filter(|vm| vm % 2 == 1 && *vm != old) {
                    self.set_alone(vm);
                }
            }
        }
        self.run(COLD_WINDOW.0 + 50);
        self.renew();
        self.run(500);
    }
}

#[test]
fn every_history_of_takeovers_keeps_the_limit() {
    // Guards against an order of kills, suspensions, handovers and cuts in which the parts of
    // several deciding VMs add up to more than the limit.
    let histories = CHANGES.len().pow(DEPTH);
    let mut served = 0;
    for history in 0..histories {
        let mut fleet = Fleet::new(4);
        fleet.run(300);
        let mut rest = history;
        for step in 0..DEPTH as usize {
            fleet.apply(CHANGES[rest % CHANGES.len()], step % 2);
            rest /= CHANGES.len();
        }
        let most = most_in_a_second(&fleet.sent);
        assert!(most <= 17, "history {history}: {most} requests in a second");
        served += fleet.sent.len();
    }
    assert!(served > histories * 20, "{served} in {histories} histories");
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
