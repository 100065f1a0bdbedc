//! Test driver: engines with few adapter slots under a demand that shifts to other adapters.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    super::scheduler_world::{Decision, ENGINES, World, engine, generation, limits},
    jasmine_core::{
        clock::Millis,
        ids::UpstreamId,
        ingress::PromptSize,
        scheduler::{
            Activation, CopyStatistics, EngineLimits, EngineStatus, Generation, HardLoadSettings,
            Job, LoadSettings, Order, OrderResult, Outcome, RateShare, SchedulerSettings,
            WaitReason, Work,
        },
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap},
    },
};

/// Time of an order from the scheduler to an engine and back.
const ORDER_TIME: Millis = Millis(4);
/// Time of a report request until its answer arrives.
const REPORT_TIME: Millis = Millis(10);
const COLD_LOAD: Millis = Millis(250);
const WARM_LOAD: Millis = Millis(25);
const STORE_LOADS: u64 = 40;
const PROMPT_TOKENS: u32 = 1_800;
const PREFILL_TOKENS_PER_MS: f64 = 19.2;
const TOKEN_MS: f64 = 11.0;
/// Time in which empty engines fill with adapters, which isn't measured.
const WARM_UP: Millis = Millis(6_500);

/// How demand moves from one adapter to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shift {
    /// The `n` busiest adapters fall silent, the next ones rise and new ones come in.
    Rise(u32),
    /// Each adapter gets the popularity of another one, at random.
    Random,
}

#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub engines: u32,
    pub slots: usize,
    pub per_second: f64,
    pub seconds: u64,
    pub shift: Shift,
    pub shift_every: Millis,
    pub seed: u64,
    /// Whether an engine's loads take as long as its other work.
    pub paced_loads: bool,
    /// Whether another scheduler takes over in the middle.
    pub has_takeover: bool,
    pub part: Activation,
    pub burst: Option<Burst>,
}

/// A time of more requests.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// From the start.
    pub from: Millis,
    pub until: Millis,
    /// How many times as many.
    pub factor: f64,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    pub sent: u64,
    pub refused: u64,
    /// Requests sent after more than 0 ms, by what they waited for longest: their waiting times.
    pub waits: BTreeMap<WaitReason, Vec<u64>>,
    pub late: u64,
    pub cold_loads: u64,
    pub warm_loads: u64,
    /// Cold loads of adapters that another engine had.
    pub copy_loads: u64,
    /// Loads ahead of demand, and those in vain, over the whole run.
    pub planned: CopyStatistics,
    pub rejected: u64,
    /// Share of the requests for the ten busiest adapters that ran on fast engines.
    pub busiest_on_fast: f64,
    /// By the second of their arrival since the start: the requests, and those sent within their objective.
    pub by_second: BTreeMap<u64, (u64, u64)>,
}

impl Outcomes {
    /// Requests that waited for a load or for what a load waits for.
    ///
    /// The requests behind the first one of their adapter count as waiting for their turn.
    pub fn load_waits(&self) -> u64 {
        use WaitReason::{AdapterSlot, Load, Order, Turn};
        let of = |reason| self.waits.get(&reason).map_or(0, Vec::len) as u64;
        of(Load) + of(Order) + of(AdapterSlot) + of(Turn)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer(UpstreamId, u32),
    Report(UpstreamId),
    First(u64),
    End(u64),
}

#[derive(Clone, Debug, Default)]
struct SimEngine {
    pace: f64,
    prefill_free_at: f64,
    seq: u64,
    ready_at: HashMap<u32, Millis>,
    unloaded: Vec<u32>,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    adapter: u32,
    rank: usize,
    arrived: Millis,
    attempt: u32,
}

pub struct AdapterWorld {
    pub world: World,
    load: Load,
    rng: ChaCha8Rng,
    engines: BTreeMap<UpstreamId, SimEngine>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    orders: HashMap<u32, Order>,
    event_number: u64,
    order_number: u32,
    waiting: BTreeMap<u64, Request>,
    /// Adapter by rank of popularity, from 0.
    ranks: Vec<u32>,
    start: Millis,
    cumulative: Vec<f64>,
    new_adapters: u32,
    cold_until: Vec<Millis>,
    busiest: (u64, u64),
    outcomes: Outcomes,
}

impl AdapterWorld {
    pub fn new(load: Load) -> Self {
        let settings = SchedulerSettings {
            hard_load: HardLoadSettings {
                adapter_copies: load.part,
                ..HardLoadSettings::default()
            },
            loads: LoadSettings {
                max_concurrent_cold: STORE_LOADS as u32,
                ..LoadSettings::default()
            },
            ..SchedulerSettings::default()
        };
        let mut world = World::with(0, settings, true);
        world.engines_answer = false;
        world
            .scheduler
            .set_engines(HashMap::from([(ENGINES, engine_limits(load.slots))]));
        let mut engines = BTreeMap::new();
        for id in 0..load.engines {
            world.add_engine(UpstreamId(id), &[]);
            let pace = if id % 3 == 0 { 1.7 } else { 0.7 };
            let sim = SimEngine {
                pace,
                ..SimEngine::default()
            };
            engines.insert(UpstreamId(id), sim);
        }
        let mut total = 0.0;
        let cumulative = (1..=10_000)
            .map(|rank| {
                total += f64::from(rank).powf(-1.2);
                total
            })
            .collect();
        Self {
            world,
            load,
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            engines,
            events: BinaryHeap::new(),
            orders: HashMap::new(),
            event_number: 0,
            order_number: 0,
            waiting: BTreeMap::new(),
            ranks: (0..10_000).collect(),
            start: Millis::ZERO,
            cumulative,
            new_adapters: 10_000,
            cold_until: Vec::new(),
            busiest: (0, 0),
            outcomes: Outcomes::default(),
        }
    }

    pub fn run(mut self) -> Outcomes {
        let start = self.world.now;
        self.start = start;
        let mut next_arrival = start.0 as f64;
        let mut next_shift = start + self.load.shift_every;
        let end = start + Millis::from_secs(self.load.seconds);
        let mut takeover_at = self
            .load
            .has_takeover
            .then(|| start + Millis(self.load.seconds * 500));
        let mut is_warm = false;
        while self.world.now < end + Millis::from_secs(3) {
            if !is_warm && self.world.now >= start + WARM_UP {
                is_warm = true;
                self.busiest = (0, 0);
                self.outcomes = Outcomes::default();
            }
            self.world.advance(1);
            self.collect();
            let now = self.world.now;
            if takeover_at.is_some_and(|at| now >= at) {
                takeover_at = None;
                self.take_over();
            }
            if now >= next_shift {
                self.shift();
                next_shift += self.load.shift_every;
            }
            while next_arrival <= now.0 as f64 && now < end {
                let burst = self
                    .load
                    .burst
                    .filter(|burst| (start + burst.from..start + burst.until).contains(&now));
                let per_second = self.load.per_second * burst.map_or(1.0, |burst| burst.factor);
                let gap = -self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_second;
                next_arrival += gap;
                self.arrive();
            }
            while let Some(&Reverse((at, _, event))) = self.events.peek()
                && at <= now
            {
                self.events.pop();
                self.handle(event);
            }
        }
        self.outcomes.planned = self.world.scheduler.copy_statistics();
        self.outcomes.busiest_on_fast = self.busiest.0 as f64 / self.busiest.1.max(1) as f64;
        self.outcomes
    }

    /// A standby that has counted the same arrivals becomes the leader; answers to earlier orders are lost.
    fn take_over(&mut self) {
        let now = self.world.now;
        let scheduler = &mut self.world.scheduler;
        scheduler.set_role(false, RateShare::Part(1), now);
        scheduler.set_role(true, RateShare::TakenOver, now);
        self.orders.clear();
    }

    fn shift(&mut self) {
        match self.load.shift {
            Shift::Rise(n) => {
                self.ranks.drain(..n as usize);
                for _ in 0..n {
                    // New adapters come in somewhere among the first hundred.
                    let at = self.rng.random_range(0..100);
                    self.ranks.insert(at, self.new_adapters);
                    self.new_adapters += 1;
                }
            }
            Shift::Random => {
                for at in (1..self.ranks.len()).rev() {
                    let other = self.rng.random_range(0..=at);
                    self.ranks.swap(at, other);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let total = *self.cumulative.last().unwrap();
        let drawn = self.rng.random::<f64>() * total;
        let rank = self.cumulative.partition_point(|&sum| sum < drawn);
        let request = Request {
            adapter: self.ranks[rank.min(self.ranks.len() - 1)],
            rank,
            arrived: self.world.now,
            attempt: 1,
        };
        let second = request.arrived.since(self.start).0 / 1_000;
        self.outcomes.by_second.entry(second).or_default().0 += 1;
        self.place(request);
    }

    fn place(
        &mut self,
        request: Request,
    ) {
        let base = generation(request.adapter, request.arrived);
        let work = Work::Generation(Generation {
            size: PromptSize {
                prompt: PROMPT_TOKENS,
                output: 100,
            },
            parts: Vec::new(),
            ..base.generation().unwrap().clone()
        });
        let job = Job {
            work,
            attempt: request.attempt,
            ..base
        };
        let number = self.world.place(job);
        self.waiting.insert(number, request);
        self.collect();
    }

    fn handle(
        &mut self,
        event: Event,
    ) {
        match event {
            Event::Answer(upstream, number) => self.answer(upstream, number),
            Event::Report(upstream) => {
                let status = self.status(upstream);
                self.world.report(upstream, &status);
            }
            Event::First(number) => self.world.first_event(number),
            Event::End(number) => {
                let took = Millis(600);
                self.world.end(number, Outcome::Answered { took });
            }
        }
        self.collect();
    }

    fn answer(
        &mut self,
        upstream: UpstreamId,
        number: u32,
    ) {
        let Some(order) = self.orders.remove(&number) else {
            return;
        };
        let result = match order {
            Order::Unload { .. } => OrderResult::Holds,
            Order::Load { .. } | Order::LoadModel(_) => OrderResult::Accepted,
        };
        self.world.answer(upstream, order, result);
    }

    fn status(
        &self,
        upstream: UpstreamId,
    ) -> EngineStatus {
        let sim = &self.engines[&upstream];
        let (present, coming): (Vec<_>, Vec<_>) = sim
            .ready_at
            .iter()
            .partition(|&(_, &at)| at <= self.world.now);
        let ids = |list: Vec<(&u32, &Millis)>| -> Vec<u32> {
            list.into_iter().map(|(&adapter, _)| adapter).collect()
        };
        EngineStatus {
            coming: engine(None, &ids(coming)).adapters,
            ..engine(Some(sim.seq), &ids(present))
        }
    }

    /// Carries out new orders and report requests, and starts requests that were assigned.
    fn collect(&mut self) {
        for (upstream, order) in std::mem::take(&mut self.world.unanswered) {
            self.execute(upstream, order);
            self.order_number += 1;
            let number = self.order_number;
            self.orders.insert(number, order);
            self.schedule(self.world.now + ORDER_TIME, Event::Answer(upstream, number));
        }
        for upstream in std::mem::take(&mut self.world.reports_asked) {
            self.schedule(self.world.now + REPORT_TIME, Event::Report(upstream));
        }
        for (number, decision) in std::mem::take(&mut self.world.decisions) {
            let Some(request) = self.waiting.remove(&number) else {
                continue;
            };
            match decision {
                Decision::Refused(_) => self.outcomes.refused += 1,
                Decision::Sent(upstream, _) => self.start(number, request, upstream),
            }
        }
    }

    fn execute(
        &mut self,
        upstream: UpstreamId,
        order: Order,
    ) {
        let now = self.world.now;
        let held = self.engines.values().flat_map(|sim| sim.ready_at.keys());
        let is_held = |id: u32| held.clone().any(|&other| other == id);
        let is_copy = matches!(order, Order::Load { adapter, .. } if is_held(adapter.adapter.0));
        let sim = self.engines.get_mut(&upstream).unwrap();
        sim.seq += 1;
        match order {
            Order::Load { adapter, .. } => {
                let id = adapter.adapter.0;
                self.cold_until.retain(|&until| until > now);
                let takes = if sim.unloaded.contains(&id) {
                    self.outcomes.warm_loads += 1;
                    WARM_LOAD
                } else {
                    self.outcomes.cold_loads += 1;
                    self.outcomes.copy_loads += u64::from(is_copy);
                    let running = self.cold_until.len() as u64 + 1;
                    let takes = Millis(COLD_LOAD.0 * running.max(STORE_LOADS) / STORE_LOADS);
                    self.cold_until.push(now + takes);
                    if self.load.paced_loads {
                        Millis((takes.0 as f64 * sim.pace) as u64)
                    } else {
                        takes
                    }
                };
                sim.ready_at.insert(id, now + takes);
                assert!(
                    sim.ready_at.len() <= self.load.slots,
                    "overfilled {upstream:?}"
                );
            }
            Order::Unload { adapter, .. } => {
                sim.ready_at.remove(&adapter.adapter.0);
                sim.unloaded.retain(|&id| id != adapter.adapter.0);
                sim.unloaded.push(adapter.adapter.0);
                if sim.unloaded.len() > 30 {
                    sim.unloaded.remove(0);
                }
            }
            Order::LoadModel(_) => {}
        }
    }

    fn start(
        &mut self,
        number: u64,
        request: Request,
        upstream: UpstreamId,
    ) {
        let now = self.world.now;
        let sim = self.engines.get_mut(&upstream).unwrap();
        if sim
            .ready_at
            .get(&request.adapter)
            .is_none_or(|&at| at > now)
        {
            self.outcomes.rejected += 1;
            self.world.end(number, Outcome::NotLoaded);
            self.place(Request {
                attempt: request.attempt + 1,
                ..request
            });
            return;
        }
        let waited = now.since(request.arrived);
        let reason = self.world.wait_reasons.get(&number).copied();
        if waited > Millis::ZERO
            && let Some(reason) = reason
        {
            let waits = self.outcomes.waits.entry(reason).or_default();
            waits.push(waited.0);
        }
        self.outcomes.sent += 1;
        let prefill = f64::from(PROMPT_TOKENS) / PREFILL_TOKENS_PER_MS * sim.pace;
        sim.prefill_free_at = sim.prefill_free_at.max(now.0 as f64) + prefill;
        let first = sim.prefill_free_at;
        let tokens = self.rng.random_range(20.0..100.0);
        let end = first + tokens * TOKEN_MS * sim.pace;
        let pace = sim.pace;
        let is_late = first > request.arrived.0 as f64 + 1_000.0;
        self.outcomes.late += u64::from(is_late);
        let second = request.arrived.since(self.start).0 / 1_000;
        self.outcomes.by_second.entry(second).or_default().1 += u64::from(!is_late);
        if request.rank < 10 {
            self.busiest.1 += 1;
            self.busiest.0 += u64::from(pace < 1.0);
        }
        self.schedule(Millis(first as u64 + 1), Event::First(number));
        self.schedule(Millis(end as u64 + 2), Event::End(number));
    }

    fn schedule(
        &mut self,
        at: Millis,
        event: Event,
    ) {
        self.event_number += 1;
        self.events.push(Reverse((at, self.event_number, event)));
    }
}

fn engine_limits(slots: usize) -> EngineLimits {
    EngineLimits {
        slots: 96,
        kv_tokens: 121_567,
        adapter_slots: slots,
        ..limits()
    }
}
