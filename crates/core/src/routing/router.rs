use {
    super::{
        EngineView, RequestOutcome, RouterAction, RouterSettings, UpstreamSpec, UpstreamSpecKind,
        adapter_entry::{AdapterEntry, AvoidReason, AvoidedEngine},
        engine::Engine,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, Fence, ModelId, ServiceId, UpstreamId},
        placement::{EngineCandidate, Instance},
    },
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Routing state of one gateway.
#[derive(Clone, Debug)]
pub struct Router {
    pub(super) settings: RouterSettings,
    pub(super) engines: BTreeMap<UpstreamId, Engine>,
    pub(super) by_model: BTreeMap<ModelId, Vec<UpstreamId>>,
    /// Adapter slots of the engines of each base model.
    pub(super) slots: BTreeMap<ModelId, Vec<EngineCandidate>>,
    pub(super) by_service: BTreeMap<ServiceId, Vec<UpstreamId>>,
    pub(super) adapters: HashMap<AdapterVersion, AdapterEntry>,
    /// Adapters for which this gateway holds a grant or has a pending acquire request.
    pub(super) active: BTreeSet<AdapterVersion>,
    /// Incremented with each change of the list of upstreams.
    pub(super) upstreams_version: u64,
    /// Id of the last acquire request.
    pub(super) ask: u64,
    /// The upstream to exclude because the request being routed has just failed there.
    pub(super) excluded_upstream: Option<UpstreamId>,
}

impl Router {
    /// Creates a router without upstreams.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            by_model: BTreeMap::new(),
            slots: BTreeMap::new(),
            by_service: BTreeMap::new(),
            adapters: HashMap::new(),
            active: BTreeSet::new(),
            upstreams_version: 0,
            ask: 0,
            excluded_upstream: None,
        }
    }

    /// Replaces the list of upstreams; the state of those that remain is kept.
    pub fn set_upstreams(
        &mut self,
        specs: &[UpstreamSpec],
    ) {
        let mut before = std::mem::take(&mut self.engines);
        self.by_model.clear();
        self.slots.clear();
        self.by_service.clear();
        self.upstreams_version += 1;
        for &spec in specs {
            let mut engine = before
                .remove(&spec.upstream)
                .unwrap_or_else(|| Engine::new(spec));
            engine.spec = spec;
            self.engines.insert(spec.upstream, engine);
            match spec.kind {
                UpstreamSpecKind::Engine { model, slots, .. } => {
                    self.by_model.entry(model).or_default().push(spec.upstream);
                    let slot = EngineCandidate {
                        upstream: spec.upstream,
                        data_centre: spec.data_centre,
                        weight: if spec.is_draining { 0 } else { slots },
                    };
                    self.slots.entry(model).or_default().push(slot);
                }
                UpstreamSpecKind::Server { service } => {
                    let servers = self.by_service.entry(service).or_default();
                    servers.push(spec.upstream);
                }
            }
        }
        // A removed upstream is kept as long as it has requests of this gateway.
        for (upstream, mut engine) in before {
            engine.spec.is_draining = true;
            if engine.own_in_flight > 0 {
                self.engines.insert(upstream, engine);
            } else {
                self.forget_engine(upstream);
            }
        }
    }

    fn forget_engine(
        &mut self,
        upstream: UpstreamId,
    ) {
        for entry in self.adapters.values_mut() {
            entry.resident.remove(&upstream);
            entry.held.remove(&upstream);
            entry.pending.retain(|pending| pending.upstream != upstream);
        }
    }

    /// Records a fencing token of an engine's owner.
    pub fn observe_fence(
        &mut self,
        upstream: UpstreamId,
        fence: Fence,
    ) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.seen_fence = engine.seen_fence.max(fence);
        }
    }

    /// Updates an engine's state from its owner's view; views of former owners are ignored.
    pub fn update_view(
        &mut self,
        view: EngineView,
        now: Millis,
    ) -> Vec<RouterAction> {
        let mut out = Vec::new();
        let upstream = view.upstream;
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return out;
        };
        if view.owner_fence < engine.seen_fence {
            return out;
        }
        engine.seen_fence = view.owner_fence;
        engine.own_in_flight_at_view = engine.own_in_flight;
        let last = engine.view.take();
        let restarted = last.as_ref().is_some_and(|last| last.boot != view.boot);
        let previously_resident = last.map(|last| last.resident).unwrap_or_default();
        let model = match engine.spec.kind {
            UpstreamSpecKind::Engine { model, .. } => model,
            UpstreamSpecKind::Server { .. } => ModelId::default(),
        };
        for gone in previously_resident
            .iter()
            .filter(|previously_resident| !view.resident.contains(previously_resident))
        {
            let Some(entry) = self.adapters.get_mut(&gone.adapter) else {
                continue;
            };
            entry.resident.remove(&upstream);
            if entry.is_idle(now) {
                self.adapters.remove(&gone.adapter);
            }
        }
        for instance in &view.resident {
            let entry = self
                .adapters
                .entry(instance.adapter)
                .or_insert_with(|| AdapterEntry::new(model));
            entry.resident.insert(upstream);
        }
        engine.view = Some(view);
        if restarted {
            self.release_all(upstream, now, &mut out);
        }
        out
    }

    /// Records that an engine's owner has confirmed the last view as current.
    pub fn confirm_view(
        &mut self,
        upstream: UpstreamId,
    ) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.own_in_flight_at_view = engine.own_in_flight;
        }
    }

    /// Whether this engine is configured and no view of it has arrived.
    pub fn is_missing_view(
        &self,
        upstream: UpstreamId,
    ) -> bool {
        let engine = self.engines.get(&upstream);
        engine.is_some_and(|engine| engine.view.is_none())
    }

    /// Records that a sent request has ended.
    pub fn finished(
        &mut self,
        upstream: UpstreamId,
        instance: Option<Instance>,
        finish: RequestOutcome,
        now: Millis,
    ) -> Vec<RouterAction> {
        let mut out = Vec::new();
        let Some(engine) = self.engines.get_mut(&upstream) else {
            return out;
        };
        engine.own_in_flight = engine.own_in_flight.saturating_sub(1);
        match finish {
            RequestOutcome::Done | RequestOutcome::NotLoaded => engine.breaker.record_success(),
            RequestOutcome::Failed => engine.breaker.record_failure(&self.settings, now),
        }
        let Some(instance) = instance else {
            return out;
        };
        let entry = self.adapters.get_mut(&instance.adapter);
        if let Some(entry) = entry.filter(|_| finish == RequestOutcome::NotLoaded) {
            // The owner does not know yet that the instance is gone and would grant it again.
            entry.avoided.push(AvoidedEngine {
                upstream,
                until: now + self.settings.not_loaded_delay,
                reason: AvoidReason::NotLoaded,
            });
        }
        let key = (instance.adapter, instance.fence);
        if let Some(held) = engine.held.get_mut(&key) {
            held.in_flight = held.in_flight.saturating_sub(1);
            held.is_recalled |= finish == RequestOutcome::NotLoaded;
            if held.is_recalled && held.in_flight == 0 {
                self.release(instance, &mut out);
            }
        }
        out
    }

    /// The highest fencing token seen for an engine.
    pub fn seen_fence_of(
        &self,
        upstream: UpstreamId,
    ) -> Option<Fence> {
        self.engines.get(&upstream).map(|engine| engine.seen_fence)
    }

    /// The highest fencing token seen for each engine.
    pub fn seen_fences(&self) -> Vec<(UpstreamId, Fence)> {
        self.engines
            .iter()
            .map(|(&upstream, engine)| (upstream, engine.seen_fence))
            .collect()
    }

    /// The instances that this gateway holds grants for; each owner is polled with those on its engines.
    pub fn held(&self) -> Vec<Instance> {
        self.engines
            .iter()
            .flat_map(|(&upstream, engine)| {
                engine.held.keys().map(move |&(adapter, fence)| Instance {
                    upstream,
                    adapter,
                    fence,
                })
            })
            .collect()
    }

    /// This gateway's requests in flight at an upstream.
    pub fn in_flight(
        &self,
        upstream: UpstreamId,
    ) -> u32 {
        self.engines
            .get(&upstream)
            .map_or(0, |engine| engine.own_in_flight)
    }
}
