use {
    super::{
        engine::{MAX_BATCH, SLOTS, Store},
        sim::{ENGINES, Policy, World},
    },
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        ids::{AdapterVersion, Fence, UpstreamId},
        placement::{Instance, rendezvous_score},
    },
    std::collections::{BTreeMap, VecDeque},
};

/// A centralized scheduler with an exact view of all engines, for comparison.
#[derive(Clone, Debug)]
pub struct Baseline {
    policy: Policy,
    waiting: VecDeque<usize>,
    last_used: BTreeMap<Instance, Millis>,
}

impl Baseline {
    /// Creates a scheduler with an empty queue.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            waiting: VecDeque::new(),
            last_used: BTreeMap::new(),
        }
    }

    /// Admits the new requests and schedules the queued ones for one time step.
    pub fn step(
        &mut self,
        world: &mut World,
        ids: &[usize],
    ) {
        for &id in ids {
            let arrival = world.arrivals[id];
            if world.outcomes[id].is_within_limit {
                world.admit(id);
                self.waiting.push_back(id);
            } else {
                let bucket = &world.reference_buckets[arrival.account.0 as usize];
                let delay = bucket.time_until(arrival.tokens);
                world.refuse(id, Refusal::after(ErrorKind::RateLimited, delay));
            }
        }
        // FIFO, but a request that waits for a load doesn't block those behind it.
        for id in std::mem::take(&mut self.waiting) {
            if !self.place(world, id) {
                self.waiting.push_back(id);
            }
        }
    }

    fn place(
        &mut self,
        world: &mut World,
        id: usize,
    ) -> bool {
        let adapter = world.arrivals[id].adapter;
        let hash_target = match self.policy {
            Policy::ConsistentHash => Some(hashed_engine(adapter)),
            _ => None,
        };
        let is_resident = |engine: &usize| {
            world.engines[*engine]
                .loaded
                .contains(&instance(*engine, adapter))
        };
        let least = |engines: &mut dyn Iterator<Item = usize>| {
            engines.min_by_key(|&engine| world.engines[engine].request_count())
        };
        let resident = least(&mut (0..ENGINES).filter(is_resident));
        if let Some(engine) = resident {
            if world.engines[engine].request_count() >= MAX_BATCH as usize * 5 / 4 {
                return false;
            }
            let instance = instance(engine, adapter);
            self.last_used.insert(instance, world.now);
            world.send(id, engine, instance);
            return true;
        }
        let loading = (0..ENGINES).any(|engine| {
            world.engines[engine]
                .loading
                .contains_key(&instance(engine, adapter))
        });
        if !loading {
            let target = hash_target.or_else(|| least(&mut (0..ENGINES)));
            self.load(world, instance(target.unwrap_or(0), adapter));
        }
        false
    }

    fn load(
        &mut self,
        world: &mut World,
        wanted: Instance,
    ) {
        let engine = wanted.upstream.0 as usize;
        let state = &world.engines[engine];
        if state.loaded.len() + state.loading.len() >= SLOTS as usize {
            let last_used =
                |instance: &&Instance| self.last_used.get(instance).copied().unwrap_or_default();
            let idle = state
                .loaded
                .iter()
                .filter(|&&instance| !state.has_request_on(instance));
            let Some(&victim) = idle.min_by_key(last_used) else {
                return;
            };
            if world.store.grant(1) == 0 {
                return;
            }
            world.engines[engine].loaded.remove(&victim);
        } else if world.store.grant(1) == 0 {
            return;
        }
        self.last_used.insert(wanted, world.now);
        world.engines[engine].loading.insert(wanted, Store::LOAD_MS);
    }
}

fn hashed_engine(adapter: AdapterVersion) -> usize {
    let score = |engine: &usize| rendezvous_score(u64::from(adapter.adapter.0), *engine as u64, 1);
    (0..ENGINES)
        .max_by(|a, b| score(a).total_cmp(&score(b)))
        .unwrap_or(0)
}

fn instance(
    engine: usize,
    adapter: AdapterVersion,
) -> Instance {
    Instance {
        upstream: UpstreamId(engine as u32),
        adapter,
        fence: Fence(1),
    }
}
