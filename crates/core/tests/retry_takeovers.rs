//! The retry budget over every window while the VM that decides about retries changes.

mod scheduler_world;

use {
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{Job, Outcome, RateShare, RetrySettings, SchedulerSettings},
    },
    scheduler_world::{CALLS, World, call},
};

const REPEATS: RetrySettings = RetrySettings {
    ratio: 0.2,
    slack: 54.0,
    window: Millis(10_000),
};
const VMS: usize = 7;
const STEP: Millis = Millis(100);
const REQUESTS_PER_STEP: usize = 8;
/// Retries that are wanted at once, more than any window allows.
const BURST: usize = 500;
/// Time before the first burst, in which the budget fills.
const LEAD: Millis = Millis(12_000);
const UPSTREAMS: u32 = 8;

/// What happens to the VMs that decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The leader hands over, and all VMs tell its successor what they sent.
    Handover,
    /// The leader and this many other VMs are killed; they come back after a second, and know nothing.
    Kill { others: usize },
    /// The leader and this many other VMs are lost for good.
    Loss { others: usize },
    /// This many VMs decide alone for two seconds, and follow the leader again.
    Alone { vms: usize },
}

/// VMs that share the retry budget of a service.
struct Fleet {
    vms: Vec<Option<World>>,
    leader: usize,
    is_alone: Vec<bool>,
    now: Millis,
    next_vm: usize,
    /// When callers sent requests.
    requests: Vec<Millis>,
    /// When retries were sent.
    retries: Vec<Millis>,
}

impl Fleet {
    fn new() -> Self {
        let mut fleet = Self {
            vms: (0..VMS).map(|_| None).collect(),
            leader: 0,
            is_alone: vec![false; VMS],
            now: Millis(100_000),
            next_vm: 0,
            requests: Vec::new(),
            retries: Vec::new(),
        };
        for vm in 0..VMS {
            fleet.start(vm);
        }
        fleet
            .vm(0)
            .scheduler
            .set_role(true, RateShare::Fresh, Millis(100_000));
        fleet
    }

    fn vm(
        &mut self,
        vm: usize,
    ) -> &mut World {
        self.vms[vm].as_mut().unwrap()
    }

    fn running(&self) -> Vec<usize> {
        let vms = 0..self.vms.len();
        vms.filter(|&vm| self.vms[vm].is_some()).collect()
    }

    /// Starts the process of a VM.
    fn start(
        &mut self,
        vm: usize,
    ) {
        let settings = SchedulerSettings {
            repeats: REPEATS,
            ..SchedulerSettings::default()
        };
        let mut world = World::with(0, settings, false);
        world.now = self.now;
        let share = RateShare::Part(VMS as u64);
        world.scheduler.set_role(false, share, self.now);
        for id in 0..UPSTREAMS {
            world.add_server(UpstreamId(id));
        }
        self.vms[vm] = Some(world);
        self.list_vms();
    }

    /// Tells all VMs which ones the store lists.
    fn list_vms(&mut self) {
        let listed: Vec<u64> = self.running().iter().map(|&vm| vm as u64).collect();
        let now = self.now;
        for world in self.vms.iter_mut().flatten() {
            world.scheduler.set_vms(&listed, now);
        }
    }

    /// A VM tells the leader what its callers sent.
    fn tell(
        &mut self,
        vm: usize,
    ) {
        let (now, leader) = (self.now, self.leader);
        let history = self.vm(vm).scheduler.attempt_history(now);
        let scheduler = &mut self.vm(leader).scheduler;
        scheduler.add_attempt_history(vm as u64, vm as u32, &history, now);
    }

    /// Makes a VM the leader in place of another one.
    fn elect(
        &mut self,
        leader: usize,
    ) {
        self.elect_as(leader, RateShare::TakenOver);
    }

    fn elect_as(
        &mut self,
        leader: usize,
        share: RateShare,
    ) {
        let (now, previous) = (self.now, self.leader);
        self.leader = leader;
        if self.vms[previous].is_some() {
            let alone = RateShare::Part(VMS as u64);
            self.vm(previous).scheduler.set_role(false, alone, now);
        }
        self.vm(leader).scheduler.set_role(true, share, now);
        for vm in self.running() {
            self.tell(vm);
        }
    }

    /// Lets the caller of one VM after the other send a request, or a retry of one.
    fn send(
        &mut self,
        attempt: u32,
    ) {
        let running = self.running();
        self.next_vm += 1;
        let vm = running[self.next_vm % running.len()];
        let decider = if self.is_alone[vm] { vm } else { self.leader };
        let now = self.now;
        let world = self.vm(decider);
        let number = world.place(Job {
            attempt,
            ..call(now)
        });
        let sent = world.sent_to(number);
        world.end(number, Outcome::Answered { took: Millis(5) });
        if attempt == 1 {
            self.requests.push(now);
        }
        let Some(upstream) = sent else {
            return;
        };
        let scheduler = &mut self.vm(vm).scheduler;
        scheduler.note_own_attempt(CALLS, upstream, attempt, now);
        if attempt > 1 {
            self.retries.push(now);
        }
    }

    /// Lets steady requests arrive for a while.
    fn run(
        &mut self,
        time: Millis,
    ) {
        let until = self.now + time;
        while self.now < until {
            for _ in 0..REQUESTS_PER_STEP {
                self.send(1);
            }
            self.now += STEP;
            for world in self.vms.iter_mut().flatten() {
                world.advance(STEP.0);
            }
        }
    }

    /// Lets callers ask for more retries than are left.
    fn burst(&mut self) {
        for _ in 0..BURST {
            self.send(2);
        }
    }

    fn apply(
        &mut self,
        change: Change,
    ) {
        let next = (self.leader + 1) % VMS;
        let others =
            |count: usize, leader: usize| (2..2 + count).map(move |at| (leader + at) % VMS);
        match change {
            Change::Handover => self.elect(next),
            Change::Kill { others: count } | Change::Loss { others: count } => {
                let lost: Vec<usize> = others(count, self.leader).chain([self.leader]).collect();
                for &vm in &lost {
                    self.vms[vm] = None;
                }
                self.list_vms();
                self.elect(next);
                if matches!(change, Change::Kill { .. }) {
                    self.run(Millis(1_000));
                    for vm in lost {
                        self.start(vm);
                        self.tell(vm);
                    }
                }
            }
            Change::Alone { vms } => {
                let alone: Vec<usize> = others(vms, self.leader).collect();
                let share = RateShare::Part(VMS as u64);
                for &vm in &alone {
                    self.is_alone[vm] = true;
                    let now = self.now;
                    self.vm(vm).scheduler.set_role(false, share, now);
                }
                self.burst();
                self.run(Millis(2_000));
                for vm in alone {
                    self.is_alone[vm] = false;
                }
            }
        }
    }

    /// How many more retries were sent in some window than are allowed.
    ///
    /// Requests count in that window, the one before it or the one half a window before it.
    fn worst_excess(&self) -> f64 {
        let count = |times: &[Millis], end: Millis| {
            let is_in = |at: &&Millis| **at <= end && end.since(**at) < REPEATS.window;
            times.iter().filter(is_in).count() as f64
        };
        let excess = |&end: &Millis| {
            let half = Millis(REPEATS.window.0 / 2);
            let ends = [end, end.since(half), end.since(REPEATS.window)];
            let requests = ends.map(|end| count(&self.requests, end));
            let requests = requests.into_iter().fold(0.0, f64::max);
            count(&self.retries, end) - REPEATS.ratio * requests - REPEATS.slack
        };
        self.retries
            .iter()
            .map(excess)
            .fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Bursts of retries before and after a change, at several distances; returns the worst excess and its distance.
fn worst_around(changes: &[Change]) -> (f64, Millis) {
    let distances = (200..10_000).step_by(700).map(Millis);
    let worst = distances.map(|distance| {
        let mut fleet = Fleet::new();
        fleet.run(LEAD);
        fleet.burst();
        for &change in changes {
            fleet.apply(change);
            fleet.burst();
        }
        fleet.run(distance);
        fleet.burst();
        assert!(!fleet.retries.is_empty());
        (fleet.worst_excess(), distance)
    });
    worst.fold((f64::NEG_INFINITY, Millis::ZERO), |worst, next| {
        if next.0 > worst.0 { next } else { worst }
    })
}

fn assert_bounded(changes: &[Change]) {
    let (excess, distance) = worst_around(changes);
    println!("{changes:?}: {excess:.1} at the worst, {distance} after the change");
    assert!(excess <= 0.0, "{excess:.1} too many, {distance} after it");
}

#[test]
fn planned_handover() {
    // Guards against a successor that counts requests of before its takeover once more in the window after it.
    assert_bounded(&[Change::Handover]);
}

#[test]
fn handovers_in_series() {
    // The same where leadership moves again within the window.
    assert_bounded(&[Change::Handover, Change::Handover, Change::Handover]);
}

#[test]
fn killed_leader() {
    // Guards against a successor that takes the retries of killed VMs for none.
    assert_bounded(&[Change::Kill { others: 0 }]);
}

#[test]
fn killed_vms() {
    // The same where half of the VMs are killed at once.
    assert_bounded(&[Change::Kill { others: 3 }]);
}

#[test]
fn lost_vms() {
    // The same where they don't come back.
    assert_bounded(&[Change::Loss { others: 4 }]);
}

#[test]
fn vms_alone() {
    // Guards against VMs without a leader that use a budget of their own beside it.
    assert_bounded(&[Change::Alone { vms: 5 }]);
}

#[test]
fn vms_alone_around_a_takeover() {
    // The same beside a leader that takes over.
    assert_bounded(&[
        Change::Alone { vms: 3 },
        Change::Handover,
        Change::Alone { vms: 3 },
    ]);
}

#[test]
fn first_leader() {
    // Guards against a first leader that counts its own callers' requests of before its election twice.
    let mut fleet = Fleet::new();
    let now = fleet.now;
    let share = RateShare::Part(VMS as u64);
    fleet.vm(0).scheduler.set_role(false, share, now);
    fleet.is_alone = vec![true; VMS];
    fleet.run(Millis(2_000));
    fleet.elect_as(0, RateShare::Fresh);
    fleet.is_alone = vec![false; VMS];
    fleet.run(Millis(1_000));
    fleet.send(2);
    let sent = fleet.requests.len();
    let records = fleet.vm(0).scheduler.take_retry_records();
    let counted = records.last().map(|record| record.counts.requests as usize);
    assert!(
        counted.is_some_and(|counted| counted <= sent),
        "{counted:?} counted, {sent} sent"
    );
}
