//! VMs that decide in turn or beside each other about the requests to one upstream.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    crate::scheduler_world::{CALLS, World, call},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{AdmissionShare, Outcome, RateShare, SchedulerSettings},
    },
};

const UPSTREAM: UpstreamId = UpstreamId(1);
const LEASE: Millis = Millis(1_200);

/// Sends a call each 10 ms that ends at once; returns when calls were sent.
pub fn flood(
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

/// The most requests within any `window`.
pub fn most_in(
    window: Millis,
    sent: &[Millis],
) -> usize {
    let after = |at: Millis| sent.iter().filter(move |&&t| t >= at && t < at + window);
    sent.iter()
        .map(|&at| after(at).count())
        .max()
        .unwrap_or_default()
}

/// Names of VMs, by their hashes.
pub fn vms(count: u64) -> Vec<u64> {
    (1..=count).collect()
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

/// All orders of `depth` changes, with a pause after each.
pub struct Histories<'a> {
    pub depth: u32,
    pub pause: Millis,
    /// Number of VMs.
    pub vms: u64,
    /// How long a suspended scheduler that has resumed goes on beside its successor.
    pub overlap: Millis,
    /// Adds the upstream to a VM that hasn't decided yet.
    pub prepare: &'a dyn Fn(&mut World),
}

impl Histories<'_> {
    pub const fn count(&self) -> usize {
        CHANGES.len().pow(self.depth)
    }

    /// Plays each history; returns its number and when requests were sent.
    pub fn play(&self) -> impl Iterator<Item = (usize, Vec<Millis>)> {
        (0..self.count()).map(|history| {
            let mut fleet = Fleet::new(self);
            fleet.run(300);
            let mut rest = history;
            for step in 0..self.depth as usize {
                fleet.apply(CHANGES[rest % CHANGES.len()], step % 2);
                rest /= CHANGES.len();
            }
            (history, fleet.sent)
        })
    }
}

/// A VM that schedules for others.
struct Leader {
    vm: usize,
    took_over_at: Option<Millis>,
}

/// A few VMs before one upstream, each with as many calls as it may send.
struct Fleet {
    vms: Vec<World>,
    alone: Vec<bool>,
    leaders: Vec<Leader>,
    pause: Millis,
    overlap: Millis,
    now: Millis,
    sent: Vec<Millis>,
}

impl Fleet {
    fn new(histories: &Histories<'_>) -> Self {
        let start = |_| {
            let mut world = World::with(0, SchedulerSettings::default(), false);
            (histories.prepare)(&mut world);
            world
        };
        let vms: Vec<World> = vms(histories.vms).into_iter().map(start).collect();
        let mut fleet = Self {
            alone: vec![false; vms.len()],
            now: vms[0].now,
            vms,
            leaders: Vec::new(),
            pause: histories.pause,
            overlap: histories.overlap,
            sent: Vec::new(),
        };
        fleet.elect(0, RateShare::Fresh);
        fleet
    }

    /// Makes a VM the scheduler, which hears of the others' requests; earlier ones go on until they
    /// notice.
    fn elect(
        &mut self,
        vm: usize,
        share: RateShare,
    ) {
        self.vms[vm].scheduler.set_role(true, share, self.now);
        for from in 0..self.vms.len() {
            let history = self.vms[from].scheduler.attempt_history(self.now);
            let scheduler = &mut self.vms[vm].scheduler;
            scheduler.add_attempt_history(from as u64, from as u32, &history, self.now);
        }
        self.alone[vm] = false;
        self.leaders.push(Leader {
            vm,
            took_over_at: match share {
                RateShare::Fresh => None,
                RateShare::TakenOver | RateShare::Part(_) => Some(self.now),
            },
        });
        self.renew();
    }

    /// Renews the lease of the latest scheduler.
    fn renew(&mut self) {
        let Some(leader) = self.leaders.last() else {
            return;
        };
        let share = AdmissionShare::Scheduler {
            took_over_at: leader.took_over_at,
            lease_until: self.now + LEASE,
        };
        self.vms[leader.vm].scheduler.set_admission_share(share);
    }

    /// Leaves only the latest scheduler.
    fn retire_others(&mut self) {
        let vms = self.vms.len() as u64;
        let latest = self.leaders.pop();
        for leader in self.leaders.drain(..) {
            let scheduler = &mut self.vms[leader.vm].scheduler;
            scheduler.set_role(false, RateShare::Part(vms), self.now);
        }
        self.leaders.extend(latest);
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

    /// Advances all VMs; those that decide get a call each 25 ms, a scheduler for any of those that
    /// follow it.
    fn run(
        &mut self,
        time: u64,
    ) {
        let end = self.now + Millis(time);
        while self.now < end {
            for vm in 0..self.vms.len() {
                let is_leader = self.leaders.iter().any(|leader| leader.vm == vm);
                if self.alone[vm] || is_leader {
                    self.call(vm);
                }
                self.vms[vm].advance(25);
            }
            self.now += Millis(25);
        }
    }

    fn call(
        &mut self,
        decides: usize,
    ) {
        let world = &mut self.vms[decides];
        let number = world.place(call(world.now));
        if world.sent_to(number).is_some() {
            let sender = if self.alone[decides] {
                decides
            } else {
                self.sent.len() % self.vms.len()
            };
            self.sent.push(self.now);
            let scheduler = &mut self.vms[sender].scheduler;
            scheduler.note_own_attempt(CALLS, UPSTREAM, 1, self.now);
        }
        self.vms[decides].end(number, Outcome::Abandoned);
    }

    fn apply(
        &mut self,
        change: Change,
        step: usize,
    ) {
        let old = self.leaders.last().unwrap().vm;
        let next = (old + 1 + step) % self.vms.len();
        match change {
            Change::Wait => {}
            Change::KillScheduler => {
                self.leaders.clear();
                for vm in (0..self.vms.len()).filter(|&vm| vm != old) {
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
                self.run(self.overlap.0);
                self.retire_others();
            }
            Change::HandOver => {
                self.elect(next, RateShare::TakenOver);
                self.retire_others();
            }
            Change::CutHalf => {
                for vm in (0..self.vms.len()).filter(|vm| vm % 2 == 1 && *vm != old) {
                    self.set_alone(vm);
                }
            }
        }
        self.run(self.pause.0);
        self.renew();
        self.run(500);
    }
}
