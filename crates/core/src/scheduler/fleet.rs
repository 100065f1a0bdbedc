use {
    super::{
        EngineFacts, EngineLimits, Job, LoadSettings, Outcome, UpstreamFacts,
        backlog::Reading,
        engine::Engine,
        read_time::{ReadLine, ReadTime},
        upstream::Upstream,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, RequestId, ServiceId, UpstreamId},
    },
    std::collections::{BTreeMap, HashMap},
};

/// All upstreams, with what the scheduler knows of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    /// What the engines of a service can hold; a service without an entry is a plain one.
    engines: HashMap<ServiceId, EngineLimits>,
    /// From when on engines may be ordered that were not known before.
    pub orders_from: Millis,
    /// How fast the engines of a service read prompts.
    read_times: HashMap<ServiceId, ReadTime>,
}

impl Fleet {
    /// Sets which services have engines, and what these can hold.
    pub(super) fn set_engines(
        &mut self,
        engines: HashMap<ServiceId, EngineLimits>,
    ) {
        self.engines = engines;
        let mut upstreams = std::mem::take(&mut self.upstreams);
        for upstream in upstreams.values_mut() {
            let limits = self.engines.get(&upstream.service);
            match (limits, &mut upstream.engine) {
                (Some(limits), Some(engine)) => engine.limits = limits.clone(),
                (_, engine) => *engine = self.new_engine(upstream.service),
            }
        }
        self.upstreams = upstreams;
    }

    /// The book on an engine of a service that was not known before; none where the service has no engines.
    fn new_engine(
        &self,
        service: ServiceId,
    ) -> Option<Engine> {
        let limits = self.engines.get(&service)?;
        let mut engine = Engine::new(limits.clone());
        engine.backlog.set_line(self.read_line(service));
        engine.orders_from = self.orders_from;
        Some(engine)
    }

    /// Takes what an upstream's entry says. `is_sole_orderer` says that nobody else gives orders: then
    /// what the book has of an engine is newer than its entry.
    pub(super) fn set(
        &mut self,
        id: UpstreamId,
        facts: &UpstreamFacts,
        is_sole_orderer: bool,
        load: &LoadSettings,
        now: Millis,
    ) {
        if !self.upstreams.contains_key(&id) {
            let engine = self.new_engine(facts.service);
            self.upstreams
                .insert(id, Upstream::new(id, facts, engine, now));
        }
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.update(facts, now);
        let (Some(engine), Some(said)) = (&mut upstream.engine, &facts.engine) else {
            return;
        };
        if !is_sole_orderer || !matches!(engine.knowledge, super::engine::Knowledge::Sure) {
            engine.adopt(said, load, now);
        } else {
            engine.models.clone_from(&said.models);
            if engine
                .loading
                .is_some_and(|model| said.models.contains(&model))
            {
                engine.loading = None;
            }
        }
    }

    /// Takes an engine's own report.
    pub(super) fn report(
        &mut self,
        id: UpstreamId,
        facts: &EngineFacts,
        load: &LoadSettings,
        now: Millis,
    ) {
        let Some(engine) = self.engine_mut(id) else {
            return;
        };
        // A report older than an order that was accepted since would undo it in the book.
        if engine.is_outdated(facts, now) || engine.has_order {
            engine.doubt(now);
            return;
        }
        engine.adopt(facts, load, now);
        engine.trust(now);
        if facts.is_busy && engine.loading.is_none() {
            engine.loading = engine.limits.models.first().map(|&(model, ..)| model);
        }
    }

    /// Forgets an upstream that is gone.
    pub(super) fn remove(
        &mut self,
        id: UpstreamId,
    ) {
        self.upstreams.remove(&id);
    }

    pub(super) fn engine_mut(
        &mut self,
        id: UpstreamId,
    ) -> Option<&mut Engine> {
        self.upstreams
            .get_mut(&id)
            .and_then(|upstream| upstream.engine.as_mut())
    }

    /// Engines, with their ids.
    pub(super) fn engines_mut(&mut self) -> impl Iterator<Item = (UpstreamId, &mut Engine)> {
        self.upstreams
            .values_mut()
            .filter_map(|upstream| Some((upstream.id, upstream.engine.as_mut()?)))
    }

    /// Upstreams of a service that take new work.
    pub(super) fn ready(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = &Upstream> {
        self.upstreams
            .values()
            .filter(move |upstream| upstream.service == service && upstream.is_ready)
    }

    /// Work of a service that its upstreams do in a millisecond: tokens of prompts, or calls.
    pub(super) fn capacity(
        &self,
        service: ServiceId,
    ) -> f64 {
        self.ready(service).map(Upstream::capacity).sum()
    }

    /// How long engines of a service take to read prompts.
    pub(super) fn read_line(
        &self,
        service: ServiceId,
    ) -> ReadLine {
        let known = self.read_times.get(&service).copied();
        known.unwrap_or_default().line()
    }

    /// Learns from how long an engine of a service took to read a prompt.
    pub(super) fn note_reading(
        &mut self,
        service: ServiceId,
        reading: Reading,
    ) {
        let read_time = self.read_times.entry(service).or_default();
        read_time.note(reading.tokens, reading.took);
        let line = read_time.line();
        let of_service = self
            .upstreams
            .values_mut()
            .filter(|upstream| upstream.service == service);
        for engine in of_service.filter_map(|upstream| upstream.engine.as_mut()) {
            engine.backlog.set_line(line);
        }
    }

    /// Cold loads at a time that don't slow each other down: the users' adapter store grows with their engines, four for
    /// nine of them at ninety and more, and is never smaller than the settings say.
    fn loads_at_once(
        &self,
        load: &LoadSettings,
    ) -> u64 {
        let engines = self
            .upstreams
            .values()
            .filter(|up| up.engine.is_some())
            .count();
        u64::from(load.at_once.max(1)).max(engines as u64 * 4 / 9)
    }

    /// How long a load from the adapter store takes if it begins now. Loads that share the store take longer in proportion
    /// beyond a number of them.
    pub(super) fn cold_time(
        &self,
        load: &LoadSettings,
        now: Millis,
    ) -> Millis {
        let crowd = self.coming_cold(now) as u64 + 1;
        let at_once = self.loads_at_once(load);
        Millis(load.cold.0 * crowd.max(at_once) / at_once)
    }

    /// Adapters on their way from the adapter store, over all engines.
    fn coming_cold(
        &self,
        now: Millis,
    ) -> usize {
        let engines = self.upstreams.values().filter_map(|up| up.engine.as_ref());
        engines.map(|engine| engine.coming_cold(now)).sum()
    }

    /// Notes that a request was assigned.
    pub(super) fn assign(
        &mut self,
        id: UpstreamId,
        request: RequestId,
        adapter: Option<AdapterVersion>,
        tokens: Load,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.running += 1;
        if let Some(engine) = &mut upstream.engine {
            engine.kv_used += tokens.total;
            engine.backlog.push(request, tokens.unread, now);
            if let Some(adapter) = adapter {
                engine.use_adapter(adapter, now);
            }
        }
    }

    /// Notes that an assigned request has ended, or will never begin.
    pub(super) fn release(
        &mut self,
        id: UpstreamId,
        request: RequestId,
        adapter: Option<AdapterVersion>,
        total: u64,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.running = upstream.running.saturating_sub(1);
        if let Some(engine) = &mut upstream.engine {
            engine.kv_used = engine.kv_used.saturating_sub(total);
            engine.backlog.remove(request, now);
            if let Some(adapter) = adapter {
                engine.leave_adapter(adapter);
            }
        }
    }

    /// Learns from how a request ended.
    pub(super) fn learn(
        &mut self,
        id: UpstreamId,
        adapter: Option<AdapterVersion>,
        outcome: Outcome,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        match outcome {
            Outcome::Answered { took } => {
                upstream.health.answered(now);
                upstream.note_call(took);
            }
            // A load that isn't over yet is answered like a full engine.
            Outcome::Shed if upstream.is_loading(adapter) => upstream.note_late(adapter, now),
            Outcome::Failed | Outcome::Shed | Outcome::Lost => upstream.health.failed(now),
            Outcome::Unreachable | Outcome::Silent => upstream.health.missed(now),
            // Its entry will go or change; until then it is not the upstream that was meant.
            Outcome::OtherUpstream => upstream.is_ready = false,
            Outcome::Abandoned => {}
            Outcome::NotLoaded => upstream.note_late(adapter, now),
        }
    }
}

/// How much work a request is for an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Tokens of its prompt that have to be read.
    pub unread: f64,
    /// Tokens that it takes up in the end.
    pub total: u64,
}

impl Load {
    /// How much work a request would be for an engine.
    pub(super) fn of(
        job: &Job,
        engine: &Engine,
        now: Millis,
    ) -> Self {
        let Some(generation) = job.generation() else {
            return Self::default();
        };
        let cached = engine
            .prefixes
            .cached(generation.adapter, &generation.parts, now);
        let size = generation.size;
        Self {
            unread: f64::from(size.prompt.saturating_sub(cached.min(size.prompt))),
            total: size.total(),
        }
    }
}
