//! VMs with a scheduler each before engines that parts of prompts crash, while VMs and the store are lost.

use {
    super::scheduler_world::{Decision, World, attempt_id, engine, generation, upstream},
    jasmine_core::{
        clock::Millis,
        ids::{PartId, UpstreamId},
        ingress::{PromptPart, shared_parts},
        quarantine::{
            AttemptEvidence, CrashCandidates, CrashEvidence, PartSet, PromptEvidence,
            RequestEvidence, VerdictSource,
        },
        rights::CallerTag,
        scheduler::{Outcome, RateShare, SchedulerSettings, UpstreamStatus, Work},
    },
    rand::{
        Rng, SeedableRng,
        distr::{Distribution, weighted::WeightedIndex},
    },
    rand_chacha::ChaCha8Rng,
    std::collections::{BTreeMap, BTreeSet},
};

/// Time after the fifth crash under a part from which few requests with it may reach engines, and for which a VM and
/// the store have to be undisturbed for its requests to count.
const CONTACT: Millis = Millis(3_000);
/// Crashes under a part after which it has to be known.
const MAX_CRASHES: usize = 5;
const STEP: u64 = 10;
const ENGINES: u32 = 9;
/// Time from the arrival of a prompt to the head of its answer.
const BEGIN_TIME: Millis = Millis(20);
/// Time from the head of an answer to the crash of its engine.
const CRASH_TIME: Millis = Millis(30);
/// Answers that went on for so long show that their prompt is sound.
const MAX_CRASH_DELAY: Millis = Millis(1_000);
/// Time until a killed VM runs again.
const START_TIME: Millis = Millis(300);
/// Time without a leader after one is lost.
const ELECTION_TIME: Millis = Millis(1_300);
/// How often VMs write to the store, in milliseconds.
const STORE_INTERVAL: u64 = 50;
const PING_INTERVAL: Millis = Millis(300);
/// Ids of parts: those that crash engines, first parts, sound parts that follow them, and those of one session or request.
pub const BAD: u64 = 0x100;
pub const FIRST: u64 = 0x200;
const SOUND: u64 = 0x300;
const OWN: u64 = 0x1_0000;
/// A first part of prompts that share nothing with crashing ones.
const OTHER_FIRST: u64 = 0x2ff;

/// Who is lost at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    Leader,
    OneVm,
    AllVms,
    /// The store, until it is back.
    Store(Millis),
    /// All VMs, while the store is away and at the moment at which it is back.
    StoreAndAllVms(Millis),
}

/// What a run plays.
#[derive(Clone, Debug)]
pub struct Storm {
    pub vms: usize,
    /// Crashing parts.
    pub parts: u64,
    /// Number of crashing parts in each prompt that has one.
    pub parts_in_prompt: u64,
    /// First parts that prompts share; each crashing part comes after one of them.
    pub firsts: u64,
    /// Whether prompts have a part of their session before their last one, which has not come before.
    pub has_sessions: bool,
    /// Adapters, of which each prompt has one; none if it is zero.
    pub adapters: u64,
    /// Exponent of their Zipf distribution; zero for an even one.
    pub adapter_skew: f64,
    /// Until when the crashing parts are sound.
    pub sound_until: Millis,
    /// Time between two prompts with the same crashing part, over all VMs.
    pub interval: Millis,
    /// The same of sound prompts.
    pub sound_interval: Millis,
    /// Time between crashes that no prompt causes.
    pub crash_interval: Option<Millis>,
    pub losses: Vec<(Millis, Loss)>,
    pub time: Millis,
}

/// What a run has shown.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Requests with each crashing part that reached engines too late, and its crashes.
    pub parts: BTreeMap<u64, (usize, usize)>,
    /// Sound prompts served and decided, beside crashing ones and apart from them.
    pub beside: (usize, usize),
    pub apart: (usize, usize),
    pub refused: Vec<PartSet>,
}

impl Measured {
    pub fn late(&self) -> usize {
        let late = self.parts.values().map(|&(late, _)| late);
        late.max().unwrap_or_default()
    }

    /// How often sound prompts beside crashing ones are served, relative to others.
    pub fn served(&self) -> f64 {
        let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
        share(self.beside) / share(self.apart).max(f64::MIN_POSITIVE)
    }
}

struct SimVm {
    world: World,
    started_at: Millis,
    is_following: bool,
    has_read_store: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Kind {
    Bad,
    Beside,
    Apart,
}

struct Flight {
    /// The VM that decided, with the start of its process, and the request's number there.
    decider: (usize, Millis),
    number: u64,
    caller: usize,
    parts: Vec<u64>,
    adapter: Option<u64>,
    kind: Kind,
    sent: Option<(UpstreamId, Millis)>,
    ends_at: Millis,
}

#[derive(Default)]
struct SimStore {
    verdicts: BTreeSet<PartSet>,
    evidence: BTreeMap<usize, (CrashEvidence, Millis)>,
    away_until: Millis,
    away_since: Millis,
}

/// A run in progress.
pub struct StormWorld {
    storm: Storm,
    rng: ChaCha8Rng,
    now: Millis,
    vms: Vec<Option<SimVm>>,
    start_at: Vec<Millis>,
    leader: Option<usize>,
    elect_at: Millis,
    store: SimStore,
    engines_down_until: Vec<Millis>,
    engine_starts: Vec<u64>,
    flights: Vec<Flight>,
    crashes: BTreeMap<u64, Vec<Millis>>,
    arrivals: Vec<(u64, Millis, bool)>,
    measured: Measured,
    next_part: u64,
    adapters: Option<WeightedIndex<f64>>,
    next_bad: Vec<Millis>,
    next_sound: [Millis; 2],
    next_crash: Option<Millis>,
    next_ping: Millis,
    /// Whether `JASMINE_TRACE` asks for the events of evidence and verdicts.
    is_traced: bool,
}

fn is_in(
    now: Millis,
    interval: Millis,
    rng: &mut ChaCha8Rng,
) -> Millis {
    now + Millis(rng.random_range(1..=interval.0 * 2))
}

/// How adapters are spread over prompts.
fn adapter_distribution(storm: &Storm) -> Option<WeightedIndex<f64>> {
    let weights = (1..=storm.adapters).map(|rank| (rank as f64).powf(-storm.adapter_skew));
    WeightedIndex::new(weights).ok()
}

impl StormWorld {
    pub fn run(
        storm: &Storm,
        seed: u64,
    ) -> Measured {
        let now = Millis(100_000);
        let mut world = Self {
            storm: storm.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            vms: (0..storm.vms).map(|_| None).collect(),
            start_at: vec![now; storm.vms],
            leader: None,
            elect_at: now,
            store: SimStore::default(),
            engines_down_until: vec![Millis::ZERO; ENGINES as usize],
            engine_starts: vec![1; ENGINES as usize],
            flights: Vec::new(),
            crashes: BTreeMap::new(),
            arrivals: Vec::new(),
            measured: Measured::default(),
            next_part: OWN,
            adapters: adapter_distribution(storm),
            next_bad: vec![now; storm.parts as usize],
            next_sound: [now; 2],
            next_crash: storm.crash_interval.map(|interval| now + interval),
            next_ping: now,
            is_traced: std::env::var_os("JASMINE_TRACE").is_some(),
        };
        let began = now;
        let mut losses = storm.losses.clone();
        while world.now < began + storm.time {
            world.now += Millis(STEP);
            let now = world.now;
            let due = losses.iter().take_while(|(at, _)| began + *at <= now);
            let due = due.count();
            for (_, loss) in losses.drain(..due).collect::<Vec<_>>() {
                world.lose(loss);
            }
            world.step(began);
        }
        world.finish()
    }

    fn is_store_away(&self) -> bool {
        self.now < self.store.away_until
    }

    fn step(
        &mut self,
        began: Millis,
    ) {
        self.start_vms();
        self.elect();
        self.restart_engines();
        for vm in self.vms.iter_mut().flatten() {
            vm.world.now = self.now.since(Millis(STEP));
            vm.world.advance(STEP);
        }
        self.log_events(began);
        self.call(began);
        self.move_flights(began);
        self.crash_by_chance();
        self.replicate();
    }

    /// Prints what happens to verdicts, if the run is traced.
    fn log_events(
        &mut self,
        began: Millis,
    ) {
        let now = self.now;
        for (number, vm) in self.vms.iter_mut().enumerate() {
            let Some(vm) = vm else {
                continue;
            };
            for event in vm.world.scheduler.take_quarantine_events(now) {
                if self.is_traced && (!vm.is_following || event.is_change()) {
                    println!("{} vm {number}: {event:?}", now.since(began).0);
                }
            }
        }
    }

    fn lose(
        &mut self,
        loss: Loss,
    ) {
        if self.is_traced {
            println!("{} {loss:?}", self.now.0);
        }
        match loss {
            Loss::Leader => self.kill(self.leader),
            Loss::OneVm => {
                let vm = self.rng.random_range(0..self.vms.len());
                self.kill(Some(vm));
            }
            Loss::AllVms => self.kill(0..self.vms.len()),
            Loss::Store(time) => {
                self.store.away_since = self.now;
                self.store.away_until = self.now + time;
            }
            Loss::StoreAndAllVms(time) => {
                // The VMs are killed as the store comes back.
                self.store.away_since = self.now;
                self.store.away_until = self.now + time;
                self.start_at = vec![self.now + time; self.vms.len()];
            }
        }
    }

    fn kill<I>(
        &mut self,
        vms: I,
    ) where
        I: IntoIterator<Item = usize>,
    {
        for vm in vms {
            self.vms[vm] = None;
            self.start_at[vm] = self.now + START_TIME;
            if self.leader == Some(vm) {
                self.leader = None;
                self.elect_at = self.now + ELECTION_TIME;
            }
        }
        let vms = &self.vms;
        self.flights.retain(|flight| vms[flight.caller].is_some());
    }

    fn start_vms(&mut self) {
        for number in 0..self.vms.len() {
            // Killed as the store is back, after an outage.
            let is_due = self.start_at[number] == self.now && self.vms[number].is_some();
            if is_due {
                self.kill([number]);
            }
            if self.vms[number].is_none() && self.now >= self.start_at[number] {
                let world = World::with(0, SchedulerSettings::default(), false);
                let mut vm = SimVm {
                    world,
                    started_at: self.now,
                    is_following: false,
                    has_read_store: false,
                };
                vm.world.now = self.now;
                let share = RateShare::Part(self.storm.vms as u64);
                vm.world.scheduler.set_role(false, share, self.now);
                vm.world.scheduler.begin_standalone(self.now);
                for id in 0..ENGINES {
                    let status = self.engine_status(id);
                    vm.world.set(UpstreamId(id), &status);
                }
                self.vms[number] = Some(vm);
            }
            let is_away = self.is_store_away();
            let Some(vm) = self.vms[number].as_mut().filter(|vm| !vm.has_read_store) else {
                continue;
            };
            if is_away {
                continue;
            }
            vm.has_read_store = true;
            for parts in &self.store.verdicts {
                let scheduler = &mut vm.world.scheduler;
                scheduler.add_quarantine(parts.clone(), VerdictSource::Store, self.now);
            }
            Self::add_stored(&self.store, vm, self.now);
        }
    }

    fn add_stored(
        store: &SimStore,
        vm: &mut SimVm,
        now: Millis,
    ) {
        for (evidence, at) in store.evidence.values() {
            let evidence = evidence.clone().aged(now.since(*at));
            vm.world.scheduler.add_crash_evidence(&evidence, now);
        }
    }

    fn engine_status(
        &self,
        id: u32,
    ) -> UpstreamStatus {
        let mut status = upstream(Some(engine(Some(0), &[7])));
        status.started_unix_ms = Some(self.engine_starts[id as usize]);
        status.slots = 1_000;
        status
    }

    /// A VM that begins to decide alone.
    fn decide_alone(
        &mut self,
        number: usize,
    ) {
        let share = RateShare::Part(self.storm.vms as u64);
        if let Some(vm) = &mut self.vms[number] {
            vm.is_following = false;
            vm.world.scheduler.set_role(false, share, self.now);
            vm.world.scheduler.begin_standalone(self.now);
            Self::add_stored(&self.store, vm, self.now);
        }
    }

    fn elect(&mut self) {
        let lease_lost =
            self.is_store_away() && self.now.since(self.store.away_since) >= ELECTION_TIME;
        if lease_lost && self.leader.is_some() {
            self.leader = None;
            self.elect_at = self.store.away_until + Millis(500);
        }
        if self.leader.is_none() {
            for number in 0..self.vms.len() {
                let is_following = self.vms[number].as_ref().is_some_and(|vm| vm.is_following);
                if is_following {
                    self.decide_alone(number);
                }
            }
        }
        if self.leader.is_some() || self.now < self.elect_at || self.is_store_away() {
            return;
        }
        let alive: Vec<usize> = (0..self.vms.len())
            .filter(|&number| self.vms[number].is_some())
            .collect();
        let Some(&first) = alive.first() else {
            return;
        };
        let leader = alive[self.rng.random_range(0..alive.len())];
        let leader = if self.rng.random_bool(0.5) {
            first
        } else {
            leader
        };
        self.leader = Some(leader);
        let now = self.now;
        let others: Vec<(Vec<PartSet>, CrashEvidence)> = alive
            .iter()
            .filter(|&&number| number != leader)
            .map(|&number| {
                let vm = self.vms[number].as_mut().unwrap();
                vm.is_following = true;
                vm.world.scheduler.begin_following();
                let scheduler = &vm.world.scheduler;
                (scheduler.quarantined(), scheduler.crash_evidence(now))
            })
            .collect();
        let vm = self.vms[leader].as_mut().unwrap();
        vm.is_following = false;
        vm.world.scheduler.set_role(true, RateShare::TakenOver, now);
        Self::add_stored(&self.store, vm, now);
        for (sets, evidence) in others {
            vm.world.scheduler.add_crash_evidence(&evidence, now);
            for set in sets {
                let scheduler = &mut vm.world.scheduler;
                let actions = scheduler.add_quarantine(set, VerdictSource::Vm, now);
                vm.world.apply(actions);
            }
        }
    }

    fn restart_engines(&mut self) {
        for id in 0..ENGINES {
            if self.engines_down_until[id as usize] == self.now {
                self.engine_starts[id as usize] += 1;
                let status = self.engine_status(id);
                for vm in self.vms.iter_mut().flatten() {
                    vm.world.set(UpstreamId(id), &status);
                }
            }
        }
    }

    fn call(
        &mut self,
        began: Millis,
    ) {
        let now = self.now;
        for bad in 0..self.storm.parts {
            if now >= self.next_bad[bad as usize] {
                self.next_bad[bad as usize] = is_in(now, self.storm.interval, &mut self.rng);
                let first = FIRST + bad % self.storm.firsts;
                let others =
                    (0..self.storm.parts_in_prompt).map(|next| (bad + next) % self.storm.parts);
                let is_alone = now.since(began) >= Millis(self.storm.time.0 / 2);
                let others = others.take(if is_alone { 1 } else { usize::MAX });
                let parts: Vec<u64> = [first]
                    .into_iter()
                    .chain(others.map(|one| BAD + one))
                    .collect();
                self.place(parts, Kind::Bad);
            }
        }
        for (at, kind) in [Kind::Beside, Kind::Apart].into_iter().enumerate() {
            if now >= self.next_sound[at] {
                self.next_sound[at] = is_in(now, self.storm.sound_interval, &mut self.rng);
                let first = match kind {
                    Kind::Beside => FIRST + self.rng.random_range(0..self.storm.firsts),
                    _ => OTHER_FIRST,
                };
                let second = SOUND + self.rng.random_range(0..4) + 16 * at as u64;
                self.place(vec![first, second], kind);
            }
        }
    }

    fn place(
        &mut self,
        mut parts: Vec<u64>,
        kind: Kind,
    ) {
        let alive: Vec<usize> = (0..self.vms.len())
            .filter(|&number| self.vms[number].is_some())
            .collect();
        if alive.is_empty() {
            return;
        }
        let caller = alive[self.rng.random_range(0..alive.len())];
        let follows = self.vms[caller].as_ref().is_some_and(|vm| vm.is_following);
        let decider = match self.leader {
            Some(leader) if follows => leader,
            _ => caller,
        };
        let own_parts = 1 + usize::from(self.storm.has_sessions);
        for _ in 0..own_parts {
            self.next_part += 1;
            parts.push(self.next_part);
        }
        let adapters = self.adapters.as_ref();
        let adapter = adapters.map(|all| all.sample(&mut self.rng) as u64);
        let now = self.now;
        let vm = self.vms[decider].as_mut().unwrap();
        vm.world.now = now;
        let mut job = generation(7, now);
        job.deadline = now + Millis(1_500);
        job.cost = 1;
        job.caller = CallerTag(self.next_part);
        if let Work::Generation(generation) = &mut job.work {
            generation.size.prompt = 50;
            generation.size.output = 5;
            let part = |&id: &u64| PromptPart { id, tokens: 10 };
            generation.parts = parts.iter().map(part).collect();
            let adapter = adapter.map(PartId::Adapter);
            let shared = shared_parts(&generation.parts).chain(adapter);
            generation.shared_parts = shared.collect();
        }
        let number = vm.world.place(job);
        let decider = (decider, vm.started_at);
        self.flights.push(Flight {
            decider,
            number,
            caller,
            parts,
            adapter,
            kind,
            sent: None,
            ends_at: now,
        });
    }

    /// The part under which a prompt crashes its engine.
    fn crashing_part(
        &self,
        parts: &[u64],
        began: Millis,
    ) -> Option<u64> {
        let is_bad = self.now.since(began) >= self.storm.sound_until;
        let mut parts = parts.iter().copied();
        let bad = BAD..BAD + self.storm.parts;
        parts.find(|part| is_bad && bad.contains(part))
    }

    fn is_in_touch(
        &self,
        vm: usize,
    ) -> bool {
        let is_calm = |vm: &SimVm| self.now.since(vm.started_at) >= CONTACT;
        let is_store_calm = self.now.since(self.store.away_until) >= CONTACT;
        is_store_calm && self.vms[vm].as_ref().is_some_and(is_calm)
    }

    fn move_flights(
        &mut self,
        began: Millis,
    ) {
        let now = self.now;
        let mut index = 0;
        while index < self.flights.len() {
            let flight = &self.flights[index];
            let (sent, ends_at) = (flight.sent, flight.ends_at);
            let vm = self.decider_of(flight);
            let decision = vm.and_then(|vm| vm.world.decision(flight.number));
            let is_lost = vm.is_none();
            match (sent, decision) {
                (None, Some(Decision::Sent(upstream, _))) if self.send(index, upstream, began) => {}
                // Its engine is down, or its decider is gone before it was sent.
                (None, Some(Decision::Sent(..))) => {
                    self.flights.remove(index);
                    continue;
                }
                (None, None) if is_lost => {
                    self.flights.remove(index);
                    continue;
                }
                (None, Some(Decision::Refused(_))) => {
                    let flight = self.flights.remove(index);
                    self.count(flight.kind, false);
                    continue;
                }
                (Some((upstream, sent_at)), _) if now >= ends_at => {
                    let parts = &self.flights[index].parts;
                    if let Some(bad) = self.crashing_part(parts, began) {
                        self.crashes.entry(bad).or_default().push(now);
                        self.crash(upstream);
                        index = 0;
                        continue;
                    }
                    let flight = self.flights.remove(index);
                    let evidence = PromptEvidence::Sound {
                        begun_ago: now.since(sent_at + BEGIN_TIME),
                    };
                    let took = now.since(sent_at);
                    self.tell(&flight, evidence, Outcome::Answered { took });
                    self.count(flight.kind, true);
                    continue;
                }
                _ => {}
            }
            index += 1;
        }
    }

    /// The VM that has decided about a request, unless its process is gone.
    fn decider_of(
        &self,
        flight: &Flight,
    ) -> Option<&SimVm> {
        let (number, started_at) = flight.decider;
        let vm = self.vms[number].as_ref();
        vm.filter(|vm| vm.started_at == started_at)
    }

    /// Sends a request to an engine; returns whether that is there.
    fn send(
        &mut self,
        index: usize,
        upstream: UpstreamId,
        began: Millis,
    ) -> bool {
        let now = self.now;
        let parts = self.flights[index].parts.clone();
        if self.engines_down_until[upstream.0 as usize] > now {
            let flight = &mut self.flights[index];
            let (decider, number) = (flight.decider.0, flight.number);
            let vm = self.vms[decider].as_mut().unwrap();
            vm.world.end(number, Outcome::Unreachable);
            return false;
        }
        let is_in_touch = self.is_in_touch(self.flights[index].caller);
        let bad = self.crashing_part(&parts, began).is_some();
        for &part in parts.iter().filter(|&&part| (BAD..FIRST).contains(&part)) {
            self.arrivals.push((part, now, is_in_touch));
        }
        let time = if bad {
            CRASH_TIME
        } else {
            Millis(self.rng.random_range(20..400))
        };
        let flight = &mut self.flights[index];
        flight.sent = Some((upstream, now));
        flight.ends_at = now + BEGIN_TIME + time;
        true
    }

    fn crash(
        &mut self,
        upstream: UpstreamId,
    ) {
        let now = self.now;
        self.engines_down_until[upstream.0 as usize] = now + Millis(1_500);
        let flights = std::mem::take(&mut self.flights);
        for flight in flights {
            match flight.sent {
                Some((on, sent_at)) if on == upstream => {
                    let begun_at = sent_at + BEGIN_TIME;
                    let begun_ago = now.since(begun_at);
                    let evidence = if now < begun_at {
                        PromptEvidence::None
                    } else if begun_ago >= MAX_CRASH_DELAY {
                        PromptEvidence::Sound { begun_ago }
                    } else {
                        PromptEvidence::Crash
                    };
                    self.tell(&flight, evidence, Outcome::Lost);
                }
                _ => self.flights.push(flight),
            }
        }
    }

    /// Tells the VM that decides now, and the caller's own, what the end of an attempt shows.
    fn tell(
        &mut self,
        flight: &Flight,
        prompt: PromptEvidence,
        outcome: Outcome,
    ) {
        let now = self.now;
        let Some((upstream, sent_at)) = flight.sent else {
            return;
        };
        let evidence = AttemptEvidence {
            prompt,
            request: RequestEvidence::None,
        };
        let (shared, _) = flight.parts.split_at(flight.parts.len() - 1);
        let shared = shared.iter().map(|&part| PartId::Part(part));
        let shared: Vec<PartId> = shared.chain(flight.adapter.map(PartId::Adapter)).collect();
        let candidates = CrashCandidates {
            shared: &shared,
            request: PartId::Request(*flight.parts.last().unwrap()),
        };
        let (decider, started_at) = flight.decider;
        let vm = self.vms[decider].as_mut();
        if let Some(vm) = vm.filter(|vm| vm.started_at == started_at) {
            vm.world.now = now;
            let scheduler = &mut vm.world.scheduler;
            scheduler.note_evidence(attempt_id(flight.number), evidence, now);
            vm.world.end(flight.number, outcome);
        }
        // A new leader takes over what VMs have under way.
        let leader = self.leader.filter(|&leader| leader != flight.caller);
        for vm in [Some(flight.caller), leader].into_iter().flatten() {
            let Some(vm) = self.vms[vm].as_mut().filter(|_| vm != decider) else {
                continue;
            };
            let scheduler = &mut vm.world.scheduler;
            scheduler.note_own_evidence(upstream, candidates, evidence, sent_at, now);
        }
    }

    fn count(
        &mut self,
        kind: Kind,
        is_served: bool,
    ) {
        let counts = match kind {
            Kind::Bad => return,
            Kind::Beside => &mut self.measured.beside,
            Kind::Apart => &mut self.measured.apart,
        };
        counts.0 += usize::from(is_served);
        counts.1 += 1;
    }

    fn crash_by_chance(&mut self) {
        let (Some(interval), Some(due)) = (self.storm.crash_interval, self.next_crash) else {
            return;
        };
        if self.now >= due {
            self.next_crash = Some(is_in(self.now, interval, &mut self.rng));
            let engine = UpstreamId(self.rng.random_range(0..ENGINES));
            if self.engines_down_until[engine.0 as usize] <= self.now {
                self.crash(engine);
            }
        }
    }

    /// What the leader and the store tell the others.
    fn replicate(&mut self) {
        let now = self.now;
        if !self.is_store_away() && now.0.is_multiple_of(STORE_INTERVAL) {
            self.store_what_is_known();
        }
        if now < self.next_ping {
            return;
        }
        self.next_ping = now + PING_INTERVAL;
        let Some(leader) = self.leader.and_then(|leader| self.vms[leader].as_ref()) else {
            return;
        };
        let sets = leader.world.scheduler.quarantined();
        for vm in self.vms.iter_mut().flatten().filter(|vm| vm.is_following) {
            let scheduler = &mut vm.world.scheduler;
            for known in scheduler.quarantined() {
                if !sets.contains(&known) && !self.store.verdicts.contains(&known) {
                    scheduler.remove_quarantine(&known, VerdictSource::Leader, now);
                }
            }
            for parts in &sets {
                let actions = scheduler.add_quarantine(parts.clone(), VerdictSource::Leader, now);
                drop(actions);
            }
        }
    }

    fn store_what_is_known(&mut self) {
        let now = self.now;
        let mut changes = Vec::new();
        for number in 0..self.vms.len() {
            let is_leading = self.leader == Some(number);
            let Some(vm) = self.vms[number].as_ref().filter(|vm| !vm.is_following) else {
                continue;
            };
            let scheduler = &vm.world.scheduler;
            if is_leading {
                self.store.evidence.retain(|&writer, _| writer == number);
                let wanted: BTreeSet<PartSet> = scheduler.quarantined().into_iter().collect();
                changes.extend(
                    wanted
                        .difference(&self.store.verdicts)
                        .map(|set| (set.clone(), true)),
                );
                changes.extend(
                    self.store
                        .verdicts
                        .difference(&wanted)
                        .map(|set| (set.clone(), false)),
                );
            }
            let evidence = scheduler.crash_evidence(now);
            let accusing = |evidence: &CrashEvidence| {
                let crashes = evidence.crashes.iter();
                crashes
                    .map(|crash| (crash.upstream, crash.prompts.len()))
                    .collect::<Vec<_>>()
            };
            let stored = self.store.evidence.get(&number);
            if stored.map(|(stored, _)| accusing(stored)) != Some(accusing(&evidence)) {
                self.store.evidence.insert(number, (evidence.clone(), now));
                let alone = (0..self.vms.len()).filter(|&other| other != number);
                for other in alone.collect::<Vec<_>>() {
                    let deciding = self.vms[other].as_mut().filter(|vm| !vm.is_following);
                    if let Some(vm) = deciding {
                        vm.world.scheduler.add_crash_evidence(&evidence, now);
                    }
                }
            }
        }
        for (set, is_added) in changes {
            if is_added {
                self.store.verdicts.insert(set.clone());
            } else {
                self.store.verdicts.remove(&set);
            }
            for vm in self.vms.iter_mut().flatten() {
                let scheduler = &mut vm.world.scheduler;
                if is_added {
                    let actions = scheduler.add_quarantine(set.clone(), VerdictSource::Store, now);
                    vm.world.apply(actions);
                } else {
                    scheduler.remove_quarantine(&set, VerdictSource::Store, now);
                }
            }
        }
    }

    fn finish(mut self) -> Measured {
        for bad in BAD..BAD + self.storm.parts {
            let crashes = self.crashes.remove(&bad).unwrap_or_default();
            let due = crashes.get(MAX_CRASHES - 1).map(|&at| at + CONTACT);
            let late = self.arrivals.iter().filter(|&&(part, at, is_in_touch)| {
                part == bad && is_in_touch && due.is_some_and(|due| at > due)
            });
            let counts = (late.count(), crashes.len());
            self.measured.parts.insert(bad, counts);
        }
        self.measured.refused = self.store.verdicts.into_iter().collect();
        self.measured
    }
}
