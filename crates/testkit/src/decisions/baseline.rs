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

/// What a user would pick instead: knows all engines at once and asks nobody.
#[derive(Clone, Debug)]
pub struct Baseline {
    policy: Policy,
    waiting: VecDeque<usize>,
    used: BTreeMap<Instance, Millis>,
}

impl Baseline {
    /// Nothing is loaded and nobody waits.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            waiting: VecDeque::new(),
            used: BTreeMap::new(),
        }
    }

    /// Decides for one step of time.
    pub fn step(
        &mut self,
        world: &mut World,
        ids: &[usize],
    ) {
        for &id in ids {
            let arrival = world.arrivals[id];
            if world.outcomes[id].within {
                world.admit(id);
                self.waiting.push_back(id);
            } else {
                let bucket = &world.whole[arrival.account.0 as usize];
                let delay = bucket.time_until(arrival.tokens);
                world.refuse(id, Refusal::after(ErrorKind::RateLimited, delay));
            }
        }
        // First come, first served; who waits for a load doesn't hold up the others.
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
        let home = match self.policy {
            Policy::ConsistentHash => Some(hashed(adapter)),
            _ => None,
        };
        let has = |engine: &usize| {
            world.engines[*engine]
                .loaded
                .contains(&instance(*engine, adapter))
        };
        let least = |engines: &mut dyn Iterator<Item = usize>| {
            engines.min_by_key(|&engine| world.engines[engine].load())
        };
        let resident = least(&mut (0..ENGINES).filter(has));
        if let Some(engine) = resident {
            if world.engines[engine].load() >= MAX_BATCH as usize * 5 / 4 {
                return false;
            }
            let instance = instance(engine, adapter);
            self.used.insert(instance, world.now);
            world.send(id, engine, instance);
            return true;
        }
        let loading = (0..ENGINES).any(|engine| {
            world.engines[engine]
                .loading
                .contains_key(&instance(engine, adapter))
        });
        if !loading {
            let target = home.or_else(|| least(&mut (0..ENGINES)));
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
            let used = |instance: &&Instance| self.used.get(instance).copied().unwrap_or_default();
            let idle = state
                .loaded
                .iter()
                .filter(|&&instance| !state.uses(instance));
            let Some(&victim) = idle.min_by_key(used) else {
                return;
            };
            if world.store.grant(1) == 0 {
                return;
            }
            world.engines[engine].loaded.remove(&victim);
        } else if world.store.grant(1) == 0 {
            return;
        }
        self.used.insert(wanted, world.now);
        world.engines[engine].loading.insert(wanted, Store::LOAD_MS);
    }
}

fn hashed(adapter: AdapterVersion) -> usize {
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
