use {
    super::{
        baseline::Baseline,
        caller::TokenBucket,
        engine::{Engine, EngineRequest, SLOTS, Store},
        fleet::Fleet,
        metrics::{Outcome, RunMetrics},
        workload::{
            ACCOUNT_RATES, ARRIVAL_DURATION, Arrival, Scenario, WARM_UP_DURATION, Workload,
        },
    },
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, AdapterVersion},
        placement::Instance,
    },
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of engines, spread evenly over three data centres.
pub const ENGINES: usize = 9;
/// Length of a simulation step.
pub const STEP_DURATION: Millis = Millis(5);
/// Time for requests in flight to finish after the last arrival.
const DRAIN_DURATION: Millis = Millis::from_secs(60);

/// The scheduling policy of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// The production decision code.
    #[display("jasmine")]
    Jasmine,
    /// The production code with a fixed share of each rate limit per VM.
    #[display("static-rate")]
    StaticRate,
    /// Least loaded engine, load on demand, LRU eviction, global rate limits.
    #[display("least+lru")]
    LeastLoaded,
    /// Rendezvous hashing of adapters, load on demand, LRU eviction, global rate limits.
    #[display("hash+lru")]
    ConsistentHash,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 4] = [
        Self::Jasmine,
        Self::StaticRate,
        Self::LeastLoaded,
        Self::ConsistentHash,
    ];
}

/// The simulated environment, the same for all policies.
#[derive(Clone, Debug)]
pub struct World {
    /// Current virtual time.
    pub now: Millis,
    /// All engines.
    pub engines: Vec<Engine>,
    /// The store that engines load adapter weights from.
    pub store: Store,
    /// All requests so far.
    pub arrivals: Vec<Arrival>,
    /// Outcome of each request, by index.
    pub outcomes: Vec<Outcome>,
    /// Admitted requests without a first token.
    pub awaiting_first_token: BTreeSet<usize>,
    /// Scheduled retries by time.
    pub retries: BTreeMap<Millis, Vec<Arrival>>,
    /// Global token bucket of each account.
    pub reference_buckets: Vec<TokenBucket>,
}

impl World {
    fn new() -> Self {
        let accounts = 0..ACCOUNT_RATES.len() as u32;
        Self {
            now: Millis::ZERO,
            engines: vec![Engine::default(); ENGINES],
            store: Store::default(),
            arrivals: Vec::new(),
            outcomes: Vec::new(),
            awaiting_first_token: BTreeSet::new(),
            retries: BTreeMap::new(),
            reference_buckets: accounts
                .map(|account| TokenBucket::new(AccountId(account)))
                .collect(),
        }
    }

    /// Queues a request on an engine.
    pub fn send(
        &mut self,
        id: usize,
        engine: usize,
        instance: Instance,
    ) {
        let remaining_tokens = self.arrivals[id].tokens;
        self.engines[engine].waiting.push_back(EngineRequest {
            id,
            instance,
            remaining_tokens,
        });
    }

    fn add_request(
        &mut self,
        arrival: Arrival,
    ) -> usize {
        let account = arrival.account.0 as usize;
        let is_within_limit = self.reference_buckets[account].has_tokens(arrival.tokens, self.now);
        if is_within_limit {
            self.reference_buckets[account].take(arrival.tokens);
        }
        self.arrivals.push(arrival);
        self.outcomes.push(Outcome {
            account,
            is_within_limit,
            is_retry: arrival.is_retry,
            ..Outcome::default()
        });
        self.arrivals.len() - 1
    }

    /// Adds a step of stall time to pending requests whose adapter is loaded nowhere.
    fn count_stalls(&mut self) {
        if self.awaiting_first_token.is_empty() {
            return;
        }
        let loaded: BTreeSet<AdapterVersion> = self
            .engines
            .iter()
            .flat_map(|e| e.loaded.iter().map(|i| i.adapter))
            .collect();
        for &id in &self.awaiting_first_token {
            if !loaded.contains(&self.arrivals[id].adapter) {
                self.outcomes[id].stall += STEP_DURATION;
            }
        }
    }

    /// Advances all engines; returns the finished requests.
    fn advance_engines(&mut self) -> Vec<(usize, EngineRequest)> {
        let mut all = Vec::new();
        for engine in 0..ENGINES {
            let (first, ended) = self.engines[engine].advance(self.now);
            for id in first {
                self.awaiting_first_token.remove(&id);
                self.outcomes[id].first_token = Some(self.now.since(self.arrivals[id].at));
            }
            all.extend(ended.into_iter().map(|running| (engine, running)));
        }
        all
    }
}

/// Scheduler under test.
#[derive(Debug)]
enum Decider {
    Fleet(Box<Fleet>),
    Baseline(Baseline),
}

/// Runs one scenario under one policy.
pub fn run(
    scenario: Scenario,
    policy: Policy,
    seed: u64,
) -> RunMetrics {
    let mut world = World::new();
    let mut decider = match policy {
        Policy::Jasmine => Decider::Fleet(Box::new(Fleet::new(true))),
        Policy::StaticRate => Decider::Fleet(Box::new(Fleet::new(false))),
        Policy::LeastLoaded | Policy::ConsistentHash => Decider::Baseline(Baseline::new(policy)),
    };
    let mut arrivals = Workload::generate(scenario, seed)
        .arrivals
        .into_iter()
        .peekable();
    while world.now < ARRIVAL_DURATION + DRAIN_DURATION {
        world.now += STEP_DURATION;
        world
            .store
            .refill(scenario.store_rate(world.now), STEP_DURATION);
        let mut due: Vec<Arrival> = Vec::new();
        while let Some(arrival) = arrivals.next_if(|arrival| arrival.at <= world.now) {
            due.push(arrival);
        }
        while let Some(entry) = world
            .retries
            .first_entry()
            .filter(|e| *e.key() <= world.now)
        {
            due.extend(entry.remove());
        }
        let ids: Vec<usize> = due
            .into_iter()
            .map(|arrival| world.add_request(arrival))
            .collect();
        let loaded = Store::advance(&mut world.engines, STEP_DURATION);
        let mut ended = world.advance_engines();
        for engine in 0..ENGINES {
            if scenario.is_restart_due(engine, world.now) {
                let lost = world.engines[engine].restart();
                ended.extend(lost.into_iter().map(|running| (engine, running)));
            }
        }
        match &mut decider {
            Decider::Fleet(fleet) => fleet.step(&mut world, &ids, &loaded, &ended),
            Decider::Baseline(baseline) => baseline.step(&mut world, &ids),
        }
        world.count_stalls();
    }
    let loads = world.store.granted_loads;
    let measured: Vec<Outcome> = world
        .arrivals
        .iter()
        .zip(&world.outcomes)
        .filter(|(arrival, _)| arrival.at >= WARM_UP_DURATION)
        .map(|(_, &outcome)| outcome)
        .collect();
    RunMetrics::new(scenario, policy, &measured, &world.engines, loads)
}

/// Total number of adapter slots.
pub const fn total_slots() -> usize {
    ENGINES * SLOTS as usize
}
