//! Test driver: plays streams of requests against a scheduler whose upstreams take their time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use {
    super::scheduler_world::{Decision, World, attempt_id, call, generation},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, UpstreamId},
        rights::CallerTag,
        scheduler::{
            Activation, HardLoadSettings, Job, Outcome, RunningRequest, SchedulerSettings, Work,
        },
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, HashMap, HashSet, VecDeque},
};

/// Prompt tokens that an engine reads per millisecond; a prompt has 1,500.
const PREFILL_PER_MS: f64 = 19.1;
/// Refusals later than this after the arrival count as refusals after waiting.
const AT_ONCE: Millis = Millis(50);
/// Adapters of all generations; six engines have slots for two copies of each.
const ADAPTERS: u32 = 6;
/// Slots of a plain server.
pub const SLOTS: usize = 6;

/// Requests of one account and priority that arrive at random.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    pub per_s: f64,
    pub priority: u8,
    pub account: u32,
    pub objective: u64,
    pub budget: u64,
}

/// What became of the requests of a stream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub arrived: u32,
    pub served: u32,
    pub on_time: u32,
    pub refused_at_once: u32,
    pub refused_later: u32,
}

impl Tally {
    pub fn served_part(&self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived.max(1))
    }
}

/// How long the upstreams take.
#[derive(Clone, Copy, Debug)]
pub enum Upstreams {
    /// Plain servers, by the mean duration of a call in milliseconds and the deviation of its logarithm.
    Servers(f64, f64),
    /// Engines that read 1,500 prompt tokens a request and take 900 ms for its output.
    Engines,
}

struct Pending {
    stream: usize,
    arrived_at: Millis,
    job: Job,
}

pub struct Player {
    pub world: World,
    pub tallies: Vec<Tally>,
    /// The refused requests, each with the time when it is to come back.
    pub refusals: Vec<(Millis, Job)>,
    /// The answered requests.
    pub answered: HashSet<u64>,
    /// Number of adapters of all generations.
    pub adapters: u32,
    upstreams: Upstreams,
    count: u32,
    waiting: BTreeMap<u64, Pending>,
    /// Requests that have run out of slots at their server.
    at_server: HashMap<UpstreamId, VecDeque<u64>>,
    busy: HashMap<UpstreamId, usize>,
    reads_until: HashMap<UpstreamId, Millis>,
    events: BTreeMap<Millis, Vec<(u64, UpstreamId, bool)>>,
    running: HashMap<u64, (Pending, Millis)>,
    rng: ChaCha8Rng,
}

pub fn shedding(part: Activation) -> SchedulerSettings {
    SchedulerSettings {
        hard_load: HardLoadSettings {
            shedding: part,
            return_times: Activation::Off,
            ..HardLoadSettings::default()
        },
        ..SchedulerSettings::default()
    }
}

impl Player {
    pub fn new(
        upstreams: Upstreams,
        count: u32,
        settings: SchedulerSettings,
        seed: u64,
    ) -> Self {
        let mut world = World::with(0, settings, true);
        for id in 0..count {
            match upstreams {
                Upstreams::Servers(..) => world.add_server(UpstreamId(id)),
                Upstreams::Engines => world.add_engine(UpstreamId(id), &[]),
            }
        }
        Self {
            world,
            tallies: Vec::new(),
            refusals: Vec::new(),
            answered: HashSet::new(),
            adapters: ADAPTERS,
            upstreams,
            count,
            waiting: BTreeMap::new(),
            at_server: HashMap::new(),
            busy: HashMap::new(),
            reads_until: HashMap::new(),
            events: BTreeMap::new(),
            running: HashMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Plays `streams` for this many milliseconds.
    pub fn play(
        &mut self,
        streams: &[Stream],
        ms: u64,
    ) {
        self.tallies.resize(streams.len(), Tally::default());
        for _ in 0..ms {
            for (index, stream) in streams.iter().enumerate() {
                // At most one a millisecond: streams stay far below 1,000 a second.
                if self.rng.random::<f64>() < stream.per_s / 1_000.0 {
                    self.arrive(index, stream);
                }
            }
            self.step();
        }
    }

    /// Lets a millisecond pass.
    pub fn step(&mut self) {
        let now = self.world.now;
        while let Some(entry) = self.events.first_entry()
            && *entry.key() <= now
        {
            for (number, upstream, is_end) in entry.remove() {
                self.proceed(number, upstream, is_end);
            }
        }
        self.world.advance(1);
        let decided = self.waiting.keys().copied();
        let decided: Vec<u64> = decided
            .filter(|&number| self.world.decision(number).is_some())
            .collect();
        for number in decided {
            let pending = self.waiting.remove(&number).unwrap();
            match self.world.decision(number).unwrap() {
                Decision::Sent(upstream, _) => self.start(number, pending, upstream),
                Decision::Refused(refusal) => {
                    self.refused(&pending);
                    let delay = refusal.retry_after.unwrap_or_default();
                    self.refusals.push((self.world.now + delay, pending.job));
                }
            }
        }
    }

    pub fn arrive(
        &mut self,
        index: usize,
        stream: &Stream,
    ) -> u64 {
        let now = self.world.now;
        let base = match self.upstreams {
            Upstreams::Servers(..) => call(now),
            Upstreams::Engines => generation(self.rng.random_range(0..self.adapters), now),
        };
        let job = Job {
            account: Some(AccountId(stream.account)),
            caller: CallerTag(self.rng.random()),
            priority: stream.priority,
            route_priority: stream.priority,
            objective: now + Millis(stream.objective),
            deadline: now + Millis(stream.budget),
            ..base
        };
        self.tallies[index].arrived += 1;
        self.place(index, job)
    }

    /// Places a request of a stream, also one that comes back.
    pub fn place(
        &mut self,
        index: usize,
        job: Job,
    ) -> u64 {
        let now = self.world.now;
        let number = self.world.place(job.clone());
        let pending = Pending {
            stream: index,
            arrived_at: now,
            job,
        };
        self.waiting.insert(number, pending);
        number
    }

    fn refused(
        &mut self,
        pending: &Pending,
    ) {
        let tally = &mut self.tallies[pending.stream];
        if self.world.now.since(pending.arrived_at) <= AT_ONCE {
            tally.refused_at_once += 1;
        } else {
            tally.refused_later += 1;
        }
    }

    fn start(
        &mut self,
        number: u64,
        pending: Pending,
        upstream: UpstreamId,
    ) {
        let now = self.world.now;
        let is_call = matches!(pending.job.work, Work::Call);
        self.running.insert(number, (pending, now));
        if is_call {
            let queue = self.at_server.entry(upstream).or_default();
            queue.push_back(number);
            self.fill_slots(upstream);
            return;
        }
        let reads_until = self.reads_until.entry(upstream).or_default();
        *reads_until = now.max(*reads_until) + Millis((1_500.0 / PREFILL_PER_MS) as u64);
        let first = *reads_until;
        self.events
            .entry(first)
            .or_default()
            .push((number, upstream, false));
    }

    fn fill_slots(
        &mut self,
        upstream: UpstreamId,
    ) {
        let Upstreams::Servers(mean, deviation) = self.upstreams else {
            return;
        };
        let busy = self.busy.entry(upstream).or_default();
        let queue = self.at_server.entry(upstream).or_default();
        while *busy < SLOTS
            && let Some(number) = queue.pop_front()
        {
            *busy += 1;
            let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
            let took = mean * (normal * deviation - deviation * deviation / 2.0).exp();
            let end = self.world.now + Millis((took as u64).max(1));
            self.events
                .entry(end)
                .or_default()
                .push((number, upstream, true));
        }
    }

    fn proceed(
        &mut self,
        number: u64,
        upstream: UpstreamId,
        is_end: bool,
    ) {
        let now = self.world.now;
        if !self.running.contains_key(&number) {
            return;
        }
        if !is_end {
            self.answered(number);
            self.world.first_event(number);
            let end = now + Millis(900);
            let events = self.events.entry(end).or_default();
            events.push((number, upstream, true));
            return;
        }
        if matches!(self.upstreams, Upstreams::Servers(..)) {
            self.answered(number);
            *self.busy.entry(upstream).or_default() -= 1;
            self.fill_slots(upstream);
        }
        let (_, sent_at) = self.running.remove(&number).unwrap();
        let took = now.since(sent_at);
        self.world.end(number, Outcome::Answered { took });
    }

    /// Counts a request whose response, or its first event, has come.
    fn answered(
        &mut self,
        number: u64,
    ) {
        let (pending, _) = &self.running[&number];
        if self.world.now <= pending.job.deadline {
            self.answered.insert(number);
        }
        let tally = &mut self.tallies[pending.stream];
        tally.served += u32::from(self.world.now <= pending.job.deadline);
        tally.on_time += u32::from(self.world.now <= pending.job.objective);
    }

    /// Replaces the scheduler by one that knows only the upstreams and the running requests.
    pub fn take_over(
        &mut self,
        settings: SchedulerSettings,
    ) {
        let mut world = World::with(0, settings, true);
        world.continue_from(&self.world);
        let now = world.now;
        let engines = matches!(self.upstreams, Upstreams::Engines);
        for id in 0..self.count {
            match self.upstreams {
                Upstreams::Servers(..) => world.add_server(UpstreamId(id)),
                Upstreams::Engines => world.add_engine(UpstreamId(id), &[]),
            }
        }
        for (&attempt, (pending, _)) in &self.running {
            let adopted = RunningRequest {
                attempt_id: attempt_id(attempt),
                job: pending.job.clone(),
                upstream: self.world.sent_to(attempt).unwrap(),
                version: engines.then_some(0),
                has_begun: false,
            };
            world.scheduler.adopt(adopted, now);
        }
        self.world = world;
        for (_, pending) in std::mem::take(&mut self.waiting) {
            let number = self.world.place(pending.job.clone());
            self.waiting.insert(number, pending);
        }
    }

    /// Ends an upstream with all that runs there.
    pub fn end_upstream(
        &mut self,
        id: UpstreamId,
    ) {
        self.world.scheduler.remove_upstream(id, self.world.now);
        let lost: Vec<u64> = self
            .running
            .keys()
            .copied()
            .filter(|&number| self.world.sent_to(number) == Some(id))
            .collect();
        for number in lost {
            self.running.remove(&number);
            self.world.end(number, Outcome::Lost);
        }
        self.at_server.remove(&id);
        self.busy.remove(&id);
    }
}

/// The parts of all refusals that came at once.
pub fn at_once_part(tallies: &[Tally]) -> f64 {
    let at_once: u32 = tallies.iter().map(|tally| tally.refused_at_once).sum();
    let later: u32 = tallies.iter().map(|tally| tally.refused_later).sum();
    f64::from(at_once) / f64::from((at_once + later).max(1))
}
