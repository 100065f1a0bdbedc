//! Servers with slots and engines with memory that take requests of uneven cost from a scheduler.

#![allow(dead_code, reason = "each test file uses a part of it")]

mod jobs;
mod measured;

pub use measured::{Measured, p99};
use {
    super::scheduler_world::{BUILD, CALLS, Decision, ENGINES, World, engine, limits, upstream},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        scheduler::{
            Activation, EngineLimits, HardLoadSettings, Job, Outcome, SchedulerSettings,
            UpstreamStatus,
        },
    },
    jobs::{SIZE, account_call, adapter_generation},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
    },
};

/// Slots of a server.
const SLOTS: u32 = 6;
/// Time of a call or of the decode of a generation with cost 1.
const UNIT_MS: f64 = 10.0;
/// Latency of a request that was refused.
const UNSERVED: Millis = Millis(30_000);
/// Network delay from the scheduler to an upstream, and until the scheduler learns of an end.
const SEND_DELAY: Millis = Millis(1);
const REPORT_DELAY: Millis = Millis(8);
/// Output tokens of a generation with cost 1, and their time.
const UNIT_TOKENS: f64 = 70.0;
const TOKEN_MS: f64 = 9.0;
/// Prompt tokens that an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 19.0;
/// Adapters, all loaded on all engines.
pub const ADAPTERS: u32 = 16;
const ENGINE_SLOTS: u32 = 64;
/// Memory of an engine, in tokens.
pub const KV_TOKENS: u64 = 120_000;

/// The requests of a run.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    pub requests: usize,
    /// Part of what the upstreams can do.
    pub load: f64,
    pub seed: u64,
    /// Accounts, or adapters of generations, with costs spread evenly over the logarithms of 1 to 20.
    pub kinds: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    kind: u32,
    arrives_at: Millis,
    /// Cost in units.
    cost: f64,
    upstream: UpstreamId,
    sent_at: Millis,
    began_at: Millis,
    /// When it was answered, or its first event arrived.
    latency: Option<Millis>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Reported(usize),
    Begun(usize),
    Finished(usize),
    Received(usize),
    Arrive(usize),
}

#[derive(Clone, Debug, Default)]
struct Server {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
    prefilled_at: Millis,
}

pub fn settings(cost_estimates: Activation) -> SchedulerSettings {
    SchedulerSettings {
        hard_load: HardLoadSettings {
            cost_estimates,
            ..HardLoadSettings::default()
        },
        ..SchedulerSettings::default()
    }
}

pub struct CostWorld {
    pub world: World,
    servers: Vec<Server>,
    requests: Vec<Request>,
    by_number: HashMap<u64, usize>,
    numbers: Vec<u64>,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    /// Makes the job of a request by its kind.
    job: fn(u32, Millis) -> Job,
    is_engines: bool,
    kv_tokens: u64,
    overflows: usize,
    refused: usize,
}

impl CostWorld {
    /// Servers of the plain service.
    pub fn servers(
        count: u32,
        cost_estimates: Activation,
    ) -> Self {
        let mut world = World::with(0, settings(cost_estimates), true);
        for id in 0..count {
            let status = UpstreamStatus {
                build: BUILD,
                service: CALLS,
                slots: SLOTS,
                engine: None,
                ..upstream(None)
            };
            world.set(UpstreamId(id), &status);
        }
        Self::new(world, count, account_call, false)
    }

    /// Engines with this memory that hold all adapters.
    pub fn engines(
        count: u32,
        kv_tokens: u64,
        cost_estimates: Activation,
    ) -> Self {
        let mut world = World::with(0, settings(cost_estimates), true);
        let limits = EngineLimits {
            adapter_slots: ADAPTERS as usize,
            slots: ENGINE_SLOTS,
            kv_tokens,
            weights_mb: 10_000.0,
            ..limits()
        };
        world
            .scheduler
            .set_engines(HashMap::from([(ENGINES, limits)]));
        let adapters: Vec<u32> = (0..ADAPTERS).collect();
        for id in 0..count {
            world.set(UpstreamId(id), &upstream(Some(engine(None, &adapters))));
            world.report(UpstreamId(id), &engine(Some(0), &adapters));
        }
        Self {
            kv_tokens,
            ..Self::new(world, count, adapter_generation, true)
        }
    }

    fn new(
        world: World,
        count: u32,
        job: fn(u32, Millis) -> Job,
        is_engines: bool,
    ) -> Self {
        Self {
            world,
            servers: vec![Server::default(); count as usize],
            requests: Vec::new(),
            by_number: HashMap::new(),
            numbers: Vec::new(),
            events: BinaryHeap::new(),
            job,
            is_engines,
            kv_tokens: 0,
            overflows: 0,
            refused: 0,
        }
    }

    /// Runs a load to its end; the first fifth of the requests isn't measured.
    pub fn run(
        &mut self,
        arrivals: Arrivals,
    ) -> Measured {
        self.draw(arrivals);
        while let Some(&Reverse((at, event))) = self.events.peek() {
            let wake_at = self.world.scheduler.wake_at(self.world.now);
            if wake_at < at {
                self.world.now = wake_at;
                let actions = self.world.scheduler.tick(wake_at);
                self.world.apply(actions);
            } else {
                self.events.pop();
                self.world.now = at;
                self.handle(event);
            }
            self.send_assigned();
        }
        let measured = self.requests[arrivals.requests / 5..].iter();
        let measured = measured.map(|request| {
            let latency = request.latency.unwrap_or(UNSERVED);
            let work = if self.is_engines {
                Millis::ZERO
            } else {
                Millis((request.cost * UNIT_MS) as u64)
            };
            (latency, work)
        });
        Measured {
            refused: self.refused,
            overflows: self.overflows,
            ..Measured::of(measured)
        }
    }

    fn draw(
        &mut self,
        arrivals: Arrivals,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(arrivals.seed);
        let costs: Vec<f64> = (0..arrivals.kinds)
            .map(|kind| 20_f64.powf(f64::from(kind) / f64::from(arrivals.kinds - 1)))
            .collect();
        let mean = costs.iter().sum::<f64>() / costs.len() as f64;
        let capacity = if self.is_engines {
            f64::from(ENGINE_SLOTS) / (mean * UNIT_TOKENS * TOKEN_MS)
        } else {
            f64::from(SLOTS) / (mean * UNIT_MS)
        };
        let per_ms = capacity * self.servers.len() as f64 * arrivals.load;
        let mut at = self.world.now.0 as f64;
        for index in 0..arrivals.requests {
            at += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            let kind = rng.random_range(0..arrivals.kinds);
            // The sum of uniform numbers spreads each cost by a fifth.
            let spread = (0..4).map(|_| rng.random::<f64>()).sum::<f64>() - 2.0;
            let request = Request {
                kind,
                arrives_at: Millis(at as u64),
                cost: costs[kind as usize] * (1.0 + 0.35 * spread),
                upstream: UpstreamId::default(),
                sent_at: Millis::ZERO,
                began_at: Millis::ZERO,
                latency: None,
            };
            self.requests.push(request);
            self.numbers.push(0);
            self.push(request.arrives_at, Event::Arrive(index));
        }
    }

    fn push(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        self.events.push(Reverse((at, event)));
    }

    fn handle(
        &mut self,
        event: Event,
    ) {
        let now = self.world.now;
        match event {
            Event::Arrive(index) => {
                let job = (self.job)(self.requests[index].kind, now);
                let number = self.world.place(job);
                self.numbers[index] = number;
                self.by_number.insert(number, index);
            }
            Event::Received(index) if self.is_engines => self.prefill(index),
            Event::Received(index) => {
                let server = self.server_of(index);
                server.waiting.push_back(index);
                self.start_next(index);
            }
            Event::Begun(index) => {
                let request = &mut self.requests[index];
                request.latency = Some(now.since(request.arrives_at));
                request.began_at = now;
                let decode_ms = request.cost * UNIT_TOKENS * TOKEN_MS;
                self.push(now + Millis(decode_ms as u64), Event::Finished(index));
                self.world.first_event(self.numbers[index]);
            }
            Event::Finished(index) => {
                let request = &mut self.requests[index];
                request.latency.get_or_insert(now.since(request.arrives_at));
                self.server_of(index)
                    .running
                    .retain(|&other| other != index);
                self.start_next(index);
                self.push(now + REPORT_DELAY, Event::Reported(index));
            }
            Event::Reported(index) => {
                let took = now.since(self.requests[index].sent_at + REPORT_DELAY);
                self.world
                    .end(self.numbers[index], Outcome::Answered { took });
            }
        }
    }

    fn server_of(
        &mut self,
        index: usize,
    ) -> &mut Server {
        &mut self.servers[self.requests[index].upstream.0 as usize]
    }

    fn start_next(
        &mut self,
        index: usize,
    ) {
        if self.is_engines {
            return;
        }
        let now = self.world.now;
        let server = self.server_of(index);
        if server.running.len() >= SLOTS as usize {
            return;
        }
        let Some(next) = server.waiting.pop_front() else {
            return;
        };
        server.running.push(next);
        let work = Millis((self.requests[next].cost * UNIT_MS) as u64);
        self.push(now + work, Event::Finished(next));
    }

    fn prefill(
        &mut self,
        index: usize,
    ) {
        let now = self.world.now;
        let server = self.server_of(index);
        let prefill = Millis((f64::from(SIZE.prompt) / PREFILL_TOKENS_PER_MS) as u64);
        server.prefilled_at = server.prefilled_at.max(now) + prefill;
        server.running.push(index);
        let (first_event_at, running) = (server.prefilled_at, server.running.clone());
        let tokens = |&index: &usize| {
            let request = &self.requests[index];
            let decoded = now.since(request.began_at).0 as f64 / TOKEN_MS;
            let decoded = if request.latency.is_some() {
                decoded
            } else {
                0.0
            };
            u64::from(SIZE.prompt) + decoded as u64
        };
        let used: u64 = running.iter().map(tokens).sum();
        self.overflows += usize::from(used > self.kv_tokens);
        self.push(first_event_at, Event::Begun(index));
    }

    /// Sends the requests that the scheduler has assigned.
    fn send_assigned(&mut self) {
        let now = self.world.now;
        for (number, decision) in std::mem::take(&mut self.world.decisions) {
            let index = self.by_number[&number];
            match decision {
                Decision::Sent(upstream, _) => {
                    let request = &mut self.requests[index];
                    request.upstream = upstream;
                    request.sent_at = now;
                    self.push(now + SEND_DELAY, Event::Received(index));
                }
                Decision::Refused(_) => self.refused += 1,
            }
        }
    }
}
