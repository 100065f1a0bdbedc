//! Simulated upstreams whose pace changes ten times a second, behind the scheduler or behind a chooser that knows all.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod jobs;
mod machine;

use {
    super::scheduler_world::{CALLS, World, engine, upstream},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        load_reports::{HeardLoad, LoadReport},
        scheduler::{
            Activation, HardLoadSettings, Outcome, SchedulerSettings, UpstreamSignals,
            UpstreamStatus,
        },
    },
    jobs::{call_job, generation_job},
    machine::{Machine, Task},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// The paces of upstreams, in percent.
const PACES: [f64; 3] = [70.0, 100.0, 300.0];
/// Interval at which each pace changes, in milliseconds.
const CHANGE_INTERVAL: u64 = 100;
/// Delay from an assignment until a request arrives, and from an event until the scheduler is told, in milliseconds.
const NETWORK_DELAY: u64 = 2;
/// Slots of a server of calls.
const CALL_SLOTS: usize = 6;
/// Mean work of a call at the usual pace, in milliseconds.
const CALL_WORK: f64 = 60.0;
/// Prompt tokens of a generation, and those that an engine reads in a millisecond at the usual pace.
const PROMPT_TOKENS: u32 = 1_500;
const PROMPT_TOKENS_PER_MS: f64 = 19.0;
/// Time that a generation takes to write its answer at the usual pace, in milliseconds.
const ANSWER_WORK: f64 = 900.0;
/// Simulated time that isn't counted, while estimates are learned, in milliseconds.
const WARM_UP: u64 = 5_000;

/// What requests are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Call,
    Generation,
}

/// How the paces of upstreams change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Each upstream varies by up to 30 in 100 around one of the paces, which it keeps.
    AroundOwn,
    /// Each upstream takes any of the paces.
    AmongAll,
}

/// What upstreams report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    None,
    /// The truth, which the scheduler gets this many milliseconds later.
    True {
        late: u64,
    },
    /// The same pace, whatever the truth is.
    Always(u32),
    /// Any pace, credible or not.
    Random,
}

/// Who chooses the upstream of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Chooser {
    /// The scheduler, with load reports and placement by expected finish off or on.
    Scheduler(Activation),
    /// One that knows the present pace of all upstreams and the work of all requests.
    Knowing,
}

/// What to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub kind: Kind,
    pub change: Change,
    pub reports: Reports,
    pub chooser: Chooser,
    /// A third of them at each pace.
    pub upstreams: usize,
    /// Part of what all upstreams can do.
    pub load: f64,
    pub seconds: u64,
    pub seed: u64,
}

/// Something that the scheduler is told.
#[derive(Clone, Copy, Debug)]
enum Notice {
    Report(usize, HeardLoad),
    Response { number: usize, took: u64 },
    End { number: usize },
}

/// A simulation under way.
pub struct Simulation {
    pub world: World,
    setup: Setup,
    rng: ChaCha8Rng,
    begun_at: Millis,
    pub machines: Vec<Machine>,
    /// The requests, by number: the time of their arrival, their work, and when they were sent.
    requests: Vec<(u64, f64, u64)>,
    unsent: Vec<usize>,
    notices: Vec<(u64, Notice)>,
    now: u64,
    /// Times from arrival to response, in milliseconds, without those of the first seconds.
    pub response_ms: Vec<u64>,
    /// Requests sent to each machine.
    pub sent_to: Vec<u64>,
}

/// Mean time from the arrival of a request to its response, in milliseconds.
pub fn mean_response_ms(setup: Setup) -> f64 {
    let mut simulation = Simulation::new(setup);
    simulation.run(WARM_UP + setup.seconds * 1_000);
    simulation.mean_ms()
}

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let slots = match setup.kind {
            Kind::Call => CALL_SLOTS,
            Kind::Generation => 1,
        };
        let machines = (0..setup.upstreams).map(|at| {
            let next_change = rng.random_range(0..CHANGE_INTERVAL);
            Machine::new(PACES[at % PACES.len()], slots, next_change)
        });
        let machines: Vec<Machine> = machines.collect();
        let world = create_world(setup);
        Self {
            begun_at: world.now,
            world,
            setup,
            rng,
            sent_to: vec![0; machines.len()],
            machines,
            requests: Vec::new(),
            unsent: Vec::new(),
            notices: Vec::new(),
            now: 0,
            response_ms: Vec::new(),
        }
    }

    pub fn mean_ms(&self) -> f64 {
        let sum: u64 = self.response_ms.iter().sum();
        sum as f64 / self.response_ms.len().max(1) as f64
    }

    pub fn run(
        &mut self,
        for_ms: u64,
    ) {
        for _ in 0..for_ms {
            for _ in 0..self.arrivals() {
                self.arrive();
            }
            self.send();
            for at in 0..self.machines.len() {
                self.step_machine(at);
            }
            self.tell();
            self.now += 1;
            self.world.advance(1);
        }
    }

    /// Requests that arrive in this millisecond, by a Poisson process.
    fn arrivals(&mut self) -> usize {
        let speeds: f64 = PACES.iter().map(|pace| 100.0 / pace).sum();
        let (slots, work) = match self.setup.kind {
            Kind::Call => (CALL_SLOTS, CALL_WORK),
            Kind::Generation => (1, f64::from(PROMPT_TOKENS) / PROMPT_TOKENS_PER_MS),
        };
        let places = (self.machines.len() * slots) as f64;
        let per_ms = self.setup.load * places * speeds / PACES.len() as f64 / work;
        let mut left = (-per_ms).exp();
        let (mut count, mut drawn) = (0, self.rng.random_range(0.0..1.0));
        while drawn > left {
            drawn -= left;
            count += 1;
            left *= per_ms / count as f64;
        }
        count
    }

    fn arrive(&mut self) {
        let number = self.requests.len();
        let part = self.rng.random_range(0.5..1.5);
        let (job, work) = match self.setup.kind {
            Kind::Call => (call_job(self.world.now), CALL_WORK * part),
            Kind::Generation => {
                let prompt = (f64::from(PROMPT_TOKENS) * part) as u32;
                let job = generation_job(prompt, self.world.now);
                (job, f64::from(prompt) / PROMPT_TOKENS_PER_MS)
            }
        };
        self.requests.push((self.now, work, 0));
        if let Chooser::Scheduler(_) = self.setup.chooser {
            let placed = self.world.place(job);
            assert_eq!(placed as usize, number + 1, "the world counts from 1");
            self.unsent.push(number);
            return;
        }
        let finish = |at: &usize| self.machines[*at].finish_ms(work);
        let best = (0..self.machines.len()).min_by(|a, b| finish(a).total_cmp(&finish(b)));
        self.send_to(number, best.expect("there are upstreams"));
    }

    fn send(&mut self) {
        for number in std::mem::take(&mut self.unsent) {
            match self.world.sent_to(number as u64 + 1) {
                Some(UpstreamId(at)) => self.send_to(number, at as usize),
                None => self.unsent.push(number),
            }
        }
    }

    fn send_to(
        &mut self,
        number: usize,
        at: usize,
    ) {
        let (_, work, sent_at) = &mut self.requests[number];
        *sent_at = self.now;
        let task = Task {
            number,
            work: *work,
        };
        self.machines[at].send(task, self.now + NETWORK_DELAY);
        self.sent_to[at] += 1;
    }

    fn step_machine(
        &mut self,
        at: usize,
    ) {
        let change = self.setup.change;
        let (responses, ends) = self.machines[at].step(change, self.now, &mut self.rng);
        let told_at = self.now + 1 + NETWORK_DELAY;
        for number in responses {
            let (arrived, _, sent_at) = self.requests[number];
            if arrived >= WARM_UP {
                self.response_ms.push(self.now + 1 - arrived);
            }
            if let Some(report) = self.report(at) {
                let heard = HeardLoad {
                    report,
                    heard_at: self.begun_at + Millis(self.now + 1),
                };
                let late = match self.setup.reports {
                    Reports::True { late } => late,
                    _ => 0,
                };
                self.notices
                    .push((told_at + late, Notice::Report(at, heard)));
            }
            let took = told_at - sent_at;
            self.notices
                .push((told_at, Notice::Response { number, took }));
            if self.setup.kind == Kind::Generation {
                let work = ANSWER_WORK;
                self.machines[at].writing.push(Task { number, work });
            }
        }
        let ends = ends.into_iter();
        self.notices
            .extend(ends.map(|number| (told_at, Notice::End { number })));
    }

    fn report(
        &mut self,
        at: usize,
    ) -> Option<LoadReport> {
        let machine = &self.machines[at];
        match self.setup.reports {
            Reports::None => None,
            Reports::True { .. } => Some(machine.report(machine.pace as u32)),
            Reports::Always(pace) => Some(machine.report(pace)),
            Reports::Random => Some(machine.report(self.rng.random_range(0..3_000))),
        }
    }

    /// Tells the scheduler what it learns now.
    fn tell(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.notices)
            .into_iter()
            .partition(|&(at, _)| at <= now);
        self.notices = later;
        if self.setup.chooser == Chooser::Knowing {
            return;
        }
        for (_, notice) in due {
            match notice {
                Notice::Report(at, heard) => {
                    let signals = UpstreamSignals {
                        load: Some(heard),
                        ..UpstreamSignals::default()
                    };
                    let id = UpstreamId(at as u32);
                    let (sent_at, now) = (heard.heard_at, self.world.now);
                    self.world
                        .scheduler
                        .note_own_signals(id, &signals, sent_at, now);
                }
                Notice::Response { number, .. } if self.setup.kind == Kind::Generation => {
                    self.world.first_event(number as u64 + 1);
                }
                Notice::Response { number, took } => {
                    let took = Millis(took);
                    self.world
                        .end(number as u64 + 1, Outcome::Answered { took });
                }
                Notice::End { number } => {
                    let took = Millis(1_000);
                    self.world
                        .end(number as u64 + 1, Outcome::Answered { took });
                }
            }
        }
    }
}

pub fn settings(activation: Activation) -> SchedulerSettings {
    SchedulerSettings {
        hard_load: HardLoadSettings {
            load_reports: activation,
            expected_finish: activation,
            cost_estimates: Activation::Off,
            shedding: Activation::Off,
            return_times: Activation::Off,
            adapter_copies: Activation::Off,
            contended: false,
        },
        ..SchedulerSettings::default()
    }
}

fn create_world(setup: Setup) -> World {
    let activation = match setup.chooser {
        Chooser::Scheduler(activation) => activation,
        Chooser::Knowing => Activation::Off,
    };
    let mut world = World::with(0, settings(activation), true);
    for id in (0..setup.upstreams as u32).map(UpstreamId) {
        match setup.kind {
            Kind::Call => world.set(
                id,
                &UpstreamStatus {
                    service: CALLS,
                    slots: CALL_SLOTS as u32,
                    ..upstream(None)
                },
            ),
            Kind::Generation => {
                world.set(id, &upstream(Some(engine(None, &[]))));
                world.report(id, &engine(Some(0), &[]));
            }
        }
    }
    world
}
