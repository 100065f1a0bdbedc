use {
    super::{
        baseline::Baseline,
        caller::Bucket,
        engine::{Engine, Running, SLOTS, Store},
        fleet::Fleet,
        load::{Arrival, LENGTH, Load, RATES, Scenario, WARM},
        measure::{Figures, Outcome},
    },
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterVersion},
        placement::Instance,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Engines of the fleet; each third stands in a data centre of its own.
pub const ENGINES: usize = 9;
/// Time goes in steps of this length.
pub const STEP: Millis = Millis(5);
/// What is under way when the callers stop has this long to end.
const AFTER: Millis = Millis::from_secs(60);

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// This project's decision code.
    #[display("jasmine")]
    Jasmine,
    /// The same, but each VM keeps a fixed part of each account's rate.
    #[display("static-rate")]
    StaticRate,
    /// The least loaded engine, load on demand, least recently used goes; rates known at once.
    #[display("least+lru")]
    LeastLoaded,
    /// Each adapter on the engine that its hash names, load on demand; rates known at once.
    #[display("hash+lru")]
    ConsistentHash,
}

impl Policy {
    /// All of them.
    pub const ALL: [Self; 4] = [
        Self::Jasmine,
        Self::StaticRate,
        Self::LeastLoaded,
        Self::ConsistentHash,
    ];
}

/// What all policies work on.
#[derive(Clone, Debug)]
pub struct World {
    /// The time.
    pub now: Millis,
    /// The engines.
    pub engines: Vec<Engine>,
    /// The weight store.
    pub store: Store,
    /// All requests so far.
    pub arrivals: Vec<Arrival>,
    /// What became of each.
    pub outcomes: Vec<Outcome>,
    /// Admitted requests without a first token.
    pub pending: BTreeSet<usize>,
    /// Callers who will come back.
    pub back: BTreeMap<Millis, Vec<Arrival>>,
    /// Each account's limits as one counter that sees all requests would hold them.
    pub whole: Vec<Bucket>,
}

impl World {
    fn new() -> Self {
        let accounts = 0..RATES.len() as u32;
        Self {
            now: Millis::ZERO,
            engines: vec![Engine::default(); ENGINES],
            store: Store::default(),
            arrivals: Vec::new(),
            outcomes: Vec::new(),
            pending: BTreeSet::new(),
            back: BTreeMap::new(),
            whole: accounts
                .map(|account| Bucket::new(AccountId(account)))
                .collect(),
        }
    }

    /// Puts a request on an engine.
    pub fn send(
        &mut self,
        id: usize,
        engine: usize,
        instance: Instance,
    ) {
        let left = self.arrivals[id].tokens;
        self.engines[engine]
            .waiting
            .push_back(Running { id, instance, left });
    }

    fn enter(
        &mut self,
        arrival: Arrival,
    ) -> usize {
        let account = arrival.account.0 as usize;
        let within = self.whole[account].has(arrival.tokens, self.now);
        if within {
            self.whole[account].take(arrival.tokens);
        }
        self.arrivals.push(arrival);
        self.outcomes.push(Outcome {
            account,
            within,
            returned: arrival.returned,
            ..Outcome::default()
        });
        self.arrivals.len() - 1
    }

    /// Counts a step's wait for those whose adapter no engine has.
    fn note_stalls(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let loaded: BTreeSet<AdapterVersion> = self
            .engines
            .iter()
            .flat_map(|e| e.loaded.iter().map(|i| i.adapter))
            .collect();
        for &id in &self.pending {
            if !loaded.contains(&self.arrivals[id].adapter) {
                self.outcomes[id].stall += STEP;
            }
        }
    }

    /// Engines work; gives the requests that have ended.
    fn work(&mut self) -> Vec<(usize, Running)> {
        let mut all = Vec::new();
        for engine in 0..ENGINES {
            let (first, ended) = self.engines[engine].advance(self.now);
            for id in first {
                self.pending.remove(&id);
                self.outcomes[id].first_token = Some(self.now.since(self.arrivals[id].at));
            }
            all.extend(ended.into_iter().map(|running| (engine, running)));
        }
        all
    }
}

/// What decides in a run.
#[derive(Debug)]
enum Decider {
    Fleet(Box<Fleet>),
    Baseline(Baseline),
}

/// Runs one load under one policy.
pub fn run(
    scenario: Scenario,
    policy: Policy,
    seed: u64,
) -> Figures {
    let mut world = World::new();
    let mut decider = match policy {
        Policy::Jasmine => Decider::Fleet(Box::new(Fleet::new(true))),
        Policy::StaticRate => Decider::Fleet(Box::new(Fleet::new(false))),
        Policy::LeastLoaded | Policy::ConsistentHash => Decider::Baseline(Baseline::new(policy)),
    };
    let mut arrivals = Load::draw(scenario, seed).arrivals.into_iter().peekable();
    while world.now < LENGTH + AFTER {
        world.now += STEP;
        world.store.earn(scenario.store_rate(world.now), STEP);
        let mut due: Vec<Arrival> = Vec::new();
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= world.now) {
            due.push(arrival);
        }
        while let Some(entry) = world.back.first_entry().filter(|e| *e.key() <= world.now) {
            due.extend(entry.remove());
        }
        let ids: Vec<usize> = due
            .into_iter()
            .map(|arrival| world.enter(arrival))
            .collect();
        let loaded = Store::advance(&mut world.engines, STEP);
        let mut ended = world.work();
        for engine in 0..ENGINES {
            if scenario.restarts(engine, world.now) {
                let lost = world.engines[engine].restart();
                ended.extend(lost.into_iter().map(|running| (engine, running)));
            }
        }
        match &mut decider {
            Decider::Fleet(fleet) => fleet.step(&mut world, &ids, &loaded, &ended),
            Decider::Baseline(baseline) => baseline.step(&mut world, &ids),
        }
        world.note_stalls();
    }
    let loads = world.store.begun;
    let measured: Vec<Outcome> = world
        .arrivals
        .iter()
        .zip(&world.outcomes)
        .filter(|(arrival, _)| arrival.at >= WARM)
        .map(|(_, &outcome)| outcome)
        .collect();
    Figures::new(scenario, policy, &measured, &world.engines, loads)
}

/// Adapter slots of the whole fleet.
pub const fn all_slots() -> usize {
    ENGINES * SLOTS as usize
}
