use {
    super::{
        Activation, EngineLimits, EngineStatus, HardLoadSettings, Job, LoadSettings,
        SchedulerSettings, UpstreamStatus,
        admission_share::AdmissionShare,
        backlog::PrefillSample,
        brittleness::Brittleness,
        call_times::CallTimes,
        choose::{MAX_FULL_SCAN_ENGINES, PreferredEngines},
        cold_admission::ColdLimit,
        departed::DepartedUpstreams,
        engine::Engine,
        evacuation::Evacuations,
        fleet_totals::FleetTotals,
        holders::Holders,
        known_run::KnownRun,
        load_punctuality::LoadPunctuality,
        load_slowdown::LoadSlowdown,
        measured_pace::MeasuredPace,
        prefill_estimator::{PrefillEstimator, PrefillTime},
        recent_builds::RecentBuilds,
        report_ages::ReportAges,
        request_load::Load,
        slot_turnover::SlotTurnover,
        upstream::Upstream,
        usual_call_time::UsualCallTime,
    },
    crate::{
        IdMap,
        byte_budget::UpstreamBytes,
        clock::Millis,
        costs::CostModel,
        ids::{AdapterId, AdapterVersion, RequestId, ServiceId, UpstreamId},
    },
    std::collections::{BTreeMap, HashMap, HashSet},
};

/// All upstreams, and the scheduler's view of each.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    pub upstreams: BTreeMap<UpstreamId, Upstream>,
    pub(super) departed: DepartedUpstreams,
    /// The upstreams of each service, sorted by id.
    members: IdMap<ServiceId, Vec<UpstreamId>>,
    holders: Holders,
    preferred: PreferredEngines,
    pub totals: FleetTotals,
    /// Engine capacity by service; services without an entry have no engines.
    engines: HashMap<ServiceId, EngineLimits>,
    /// Limits of cold upstreams by service; services without an entry have none.
    pub(super) cold_limits: HashMap<ServiceId, ColdLimit>,
    /// The part of the upstreams' limits that this scheduler may use.
    pub admission_share: AdmissionShare,
    /// What upstreams of a service last stated about rejections.
    pub(super) brittle_services: HashMap<ServiceId, Brittleness>,
    /// When the last rest that an upstream wants from a VM ends.
    pub(super) last_rest_end: Millis,
    pub(super) evacuations: Evacuations,
    /// No orders to newly added engines before this time.
    pub orders_allowed_at: Millis,
    /// Prefill time estimators, by service.
    prefill_estimators: IdMap<ServiceId, PrefillEstimator>,
    /// Services whose upstreams report their pace.
    pub(super) pace_reporters: HashSet<ServiceId>,
    /// Times of calls at the usual pace, by service.
    pub(super) usual_call_times: IdMap<ServiceId, UsualCallTime>,
    pub(super) paces_renewed_at: Millis,
    pub(super) report_ages: ReportAges,
    /// Times of calls, by service.
    pub(super) call_times: IdMap<ServiceId, CallTimes>,
    /// How long slots stay idle between two calls, by service.
    slot_turnovers: IdMap<ServiceId, SlotTurnover>,
    /// Bytes of requests that upstreams hold.
    pub(super) body_bytes: UpstreamBytes,
    pub(super) load_slowdown: LoadSlowdown,
    /// How long requests take relative to their expected cost, by service.
    pub(super) paces: IdMap<ServiceId, MeasuredPace>,
    /// Expected costs of requests.
    pub(super) costs: CostModel,
    pub(super) load_punctuality: LoadPunctuality,
    /// When the parts that answer hard load take effect.
    pub(super) hard_load: HardLoadSettings,
    pub(super) recent_builds: RecentBuilds,
}

impl Fleet {
    /// Creates a fleet without upstreams.
    pub(super) fn new(settings: &SchedulerSettings) -> Self {
        Self {
            hard_load: settings.hard_load,
            body_bytes: UpstreamBytes::new(settings.upstream_bytes),
            ..Self::default()
        }
    }

    /// Sets which services have engines, and the capacity of these.
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

    /// The initial view of an engine; `None` if the service has no engines.
    fn new_engine(
        &self,
        service: ServiceId,
    ) -> Option<Engine> {
        let limits = self.engines.get(&service)?;
        let mut engine = Engine::new(limits.clone());
        engine.backlog.set_prefill_time(self.prefill_time(service));
        engine.orders_allowed_at = self.orders_allowed_at;
        Some(engine)
    }

    /// Adds or updates an upstream from its store entry.
    ///
    /// `is_only_scheduler` means that no other scheduler sends orders; an up-to-date view is then
    /// newer than the entry.
    pub(super) fn set(
        &mut self,
        id: UpstreamId,
        status: &UpstreamStatus,
        is_only_scheduler: bool,
        load: &LoadSettings,
        now: Millis,
    ) {
        if !self.upstreams.contains_key(&id) {
            let engine = self.new_engine(status.service);
            let mut upstream = Upstream::new(id, status, engine, now);
            self.departed.restore(&mut upstream, now);
            self.last_rest_end = self.last_rest_end.max(upstream.statements.rests.last_end());
            self.upstreams.insert(id, upstream);
            self.add_member(id, status.service);
        }
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let before = upstream.service;
        self.recent_builds.note(before, upstream.build, now);
        self.recent_builds.note(status.service, status.build, now);
        upstream.update(status, now);
        upstream.evacuated_from = self.evacuations.effective_at(status.data_centre);
        upstream.cold_limit = self.cold_limits.get(&status.service).copied();
        if before != status.service {
            self.remove_member(id, before);
            self.add_member(id, status.service);
        }
        self.apply_entry_status(id, status, is_only_scheduler, load, now);
    }

    fn add_member(
        &mut self,
        id: UpstreamId,
        service: ServiceId,
    ) {
        let members = self.members.entry(service).or_default();
        if let Err(at) = members.binary_search(&id) {
            members.insert(at, id);
        }
        self.preferred.record_join(id);
    }

    fn remove_member(
        &mut self,
        id: UpstreamId,
        service: ServiceId,
    ) {
        if let Some(members) = self.members.get_mut(&service) {
            members.retain(|&member| member != id);
        }
        self.preferred.record_departure();
    }

    fn apply_entry_status(
        &mut self,
        id: UpstreamId,
        status: &UpstreamStatus,
        is_only_scheduler: bool,
        load: &LoadSettings,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        let (Some(engine), Some(engine_status)) = (&mut upstream.engine, &status.engine) else {
            return;
        };
        if !is_only_scheduler || !matches!(engine.view_state, super::engine::ViewState::Synced) {
            engine.apply_status(engine_status, load, now);
            self.index_residents(id);
        } else {
            engine.models.clone_from(&engine_status.models);
            if engine
                .loading
                .is_some_and(|model| engine_status.models.contains(&model))
            {
                engine.loading = None;
            }
        }
    }

    /// The latest known run of an upstream; `None` if it states none.
    pub(super) fn run(
        &self,
        id: UpstreamId,
    ) -> Option<KnownRun> {
        let upstream = self.upstreams.get(&id)?;
        Some(KnownRun {
            started_unix_ms: upstream.run()?,
            known_at: upstream.run_known_at,
        })
    }

    /// Applies a report from an engine.
    pub(super) fn report(
        &mut self,
        id: UpstreamId,
        status: &EngineStatus,
        load: &LoadSettings,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.note_reported_start(status.started_unix_ms, now);
        let Some(engine) = &mut upstream.engine else {
            return;
        };
        // A report older than an accepted order would revert that order in the view.
        if engine.is_report_outdated(status, now) || engine.has_pending_order {
            engine.mark_stale(now);
            return;
        }
        engine.apply_status(status, load, now);
        engine.mark_synced(now);
        if status.is_busy && engine.loading.is_none() {
            engine.loading = engine.limits.models.first().map(|&(model, ..)| model);
        }
        self.index_residents(id);
    }

    fn index_residents(
        &mut self,
        id: UpstreamId,
    ) {
        let Some(engine) = self.engine(id) else {
            return;
        };
        let adapters = engine
            .residents
            .iter()
            .map(|resident| resident.adapter.adapter);
        let adapters: Vec<AdapterId> = adapters.collect();
        for adapter in adapters {
            self.note_holder(adapter, id);
        }
    }

    /// Records that an engine holds an adapter or is loading it.
    pub(super) fn note_holder(
        &mut self,
        adapter: AdapterId,
        id: UpstreamId,
    ) {
        let upstreams = &self.upstreams;
        let holds = |listed: UpstreamId| {
            let engine = upstreams.get(&listed).and_then(|up| up.engine.as_ref());
            engine.is_some_and(|engine| engine.may_hold(adapter))
        };
        self.holders.add(adapter, id, holds);
    }

    /// Upstreams that may hold an adapter or have unloaded it recently; `None` if removed.
    pub(super) fn holders(
        &self,
        adapter: AdapterId,
    ) -> impl ExactSizeIterator<Item = Option<&Upstream>> {
        let ids = self.holders.of(adapter);
        ids.iter().map(|id| self.upstreams.get(id))
    }

    /// When the next load of an adapter is expected to end, if one is under way.
    pub(super) fn next_load_end(
        &self,
        adapter: AdapterVersion,
        now: Millis,
    ) -> Option<Millis> {
        let engines = self.holders(adapter.adapter).flatten();
        engines
            .filter_map(|up| up.engine.as_ref()?.resident(adapter)?.wait(now))
            .filter(|&wait| wait > Millis::ZERO)
            .min()
            .map(|wait| now + wait)
    }

    /// Updates the list that [`Self::preferred`] returns for this request.
    pub(super) fn prepare(
        &mut self,
        job: &Job,
    ) {
        let Some(adapter) = job.adapter() else {
            return;
        };
        let members = self
            .members
            .get(&job.service)
            .map_or(&[][..], Vec::as_slice);
        if members.len() > MAX_FULL_SCAN_ENGINES {
            let holders = self.holders.of(adapter).len();
            self.preferred
                .prepare(job.service, adapter, members, holders);
        }
    }

    /// Engines whose reports are due.
    pub(super) fn reports_due(
        &self,
        now: Millis,
    ) -> impl Iterator<Item = UpstreamId> {
        let engines = self.upstreams.values();
        engines
            .filter(move |up| {
                let due = up.engine.as_ref().and_then(Engine::report_due);
                due.is_some_and(|at| now >= at)
            })
            .map(|up| up.id)
    }

    /// The preferred engines of an adapter, best first.
    pub(super) fn preferred(
        &self,
        service: ServiceId,
        adapter: AdapterId,
    ) -> impl Iterator<Item = &Upstream> {
        let ids = self.preferred.of(service, adapter);
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }

    /// Whether a part that answers hard load takes effect for a service.
    pub(super) fn is_active(
        &self,
        part: Activation,
        service: ServiceId,
        settings: HardLoadSettings,
    ) -> bool {
        settings.is_active(part, self.pace_reporters.contains(&service))
    }

    /// All upstreams of a service, ready or not.
    pub(super) fn members(
        &self,
        service: ServiceId,
    ) -> &[UpstreamId] {
        self.members.get(&service).map_or(&[], Vec::as_slice)
    }

    /// Removes an upstream.
    pub(super) fn remove(
        &mut self,
        id: UpstreamId,
        now: Millis,
    ) {
        if let Some(upstream) = self.upstreams.remove(&id) {
            self.recent_builds
                .note(upstream.service, upstream.build, now);
            self.remove_member(id, upstream.service);
            self.departed.keep(upstream, now);
        }
    }

    pub(super) fn engine(
        &self,
        id: UpstreamId,
    ) -> Option<&Engine> {
        self.upstreams.get(&id)?.engine.as_ref()
    }

    pub(super) fn engine_mut(
        &mut self,
        id: UpstreamId,
    ) -> Option<&mut Engine> {
        self.upstreams
            .get_mut(&id)
            .and_then(|upstream| upstream.engine.as_mut())
    }

    /// Iterates over the engines, with the id of each.
    pub(super) fn engines_mut(&mut self) -> impl Iterator<Item = (UpstreamId, &mut Engine)> {
        self.upstreams
            .values_mut()
            .filter_map(|upstream| Some((upstream.id, upstream.engine.as_mut()?)))
    }

    /// Upstreams of a service that accept new requests, by their entries and statements.
    pub(super) fn ready(
        &self,
        service: ServiceId,
    ) -> impl Iterator<Item = &Upstream> {
        let members = self.members(service).iter();
        members
            .filter_map(|id| self.upstreams.get(id))
            .filter(|upstream| upstream.is_available())
    }

    /// Recomputes the totals if they are due.
    pub(super) fn refresh_totals(
        &mut self,
        now: Millis,
    ) {
        if !self.totals.is_due(self.upstreams.len(), now) {
            return;
        }
        if self.totals.prefill_times_changed {
            self.copy_prefill_times();
        }
        self.totals = FleetTotals::of(self.upstreams.values(), now);
    }

    /// Throughput of a service per millisecond: prompt tokens on engines, otherwise calls.
    pub(super) fn capacity(
        &self,
        service: ServiceId,
    ) -> f64 {
        self.totals.capacity(service)
    }

    /// The prefill time model of a service.
    pub(super) fn prefill_time(
        &self,
        service: ServiceId,
    ) -> PrefillTime {
        let known = self.prefill_estimators.get(&service).copied();
        known.unwrap_or_default().prefill_time()
    }

    /// Time in which most calls of a service end once they are assigned, at least `min`.
    pub(super) fn most_call_time(
        &self,
        service: ServiceId,
        min: Millis,
    ) -> Millis {
        let times = self.call_times.get(&service).copied();
        times.unwrap_or_default().most(min)
    }

    /// Records a call that was assigned for `assigned`, of which it took `took` at its upstream.
    pub(super) fn note_turnover(
        &mut self,
        id: UpstreamId,
        assigned: Millis,
        took: Millis,
    ) {
        let service = self.upstreams.get(&id).map(|up| up.service);
        if let Some(service) = service {
            let turnover = self.slot_turnovers.entry(service).or_default();
            turnover.note(assigned, took);
        }
    }

    /// How long slots of a service stay idle between two calls.
    pub(super) fn slot_turnover(
        &self,
        service: ServiceId,
    ) -> SlotTurnover {
        self.slot_turnovers
            .get(&service)
            .copied()
            .unwrap_or_default()
    }

    /// Number of calls that keep an upstream's slots busy: one for each slot and some sent ahead.
    pub(super) fn call_capacity(
        &self,
        up: &Upstream,
    ) -> u32 {
        self.slot_turnover(up.service).assigned_calls(up.slots)
    }

    /// Records a measured prefill time.
    pub(super) fn note_prefill(
        &mut self,
        service: ServiceId,
        sample: PrefillSample,
    ) {
        let prefill_estimator = self.prefill_estimators.entry(service).or_default();
        prefill_estimator.note(sample.tokens, sample.took);
        self.totals.prefill_times_changed = true;
    }

    /// Copies the prefill time model of each service to its engines.
    fn copy_prefill_times(&mut self) {
        let prefill_times: HashMap<ServiceId, PrefillTime> = self
            .prefill_estimators
            .iter()
            .map(|(&service, prefill_estimator)| (service, prefill_estimator.prefill_time()))
            .collect();
        for upstream in self.upstreams.values_mut() {
            if let (Some(engine), Some(&prefill_time)) =
                (&mut upstream.engine, prefill_times.get(&upstream.service))
            {
                engine.backlog.set_prefill_time(prefill_time);
            }
        }
    }

    /// Cold loads that can run concurrently without slowing each other down.
    ///
    /// The adapter store's throughput grows with the number of engines; the setting is the lower
    /// bound.
    fn max_concurrent_cold_loads(
        &self,
        load: &LoadSettings,
    ) -> u64 {
        u64::from(load.max_concurrent_cold.max(1)).max(self.totals.engines as u64 * 4 / 9)
    }

    /// Whether adapter copies are planned ahead of demand for a service.
    pub(super) fn plans_copies(
        &self,
        service: ServiceId,
    ) -> bool {
        self.is_active(self.hard_load.adapter_copies, service, self.hard_load)
    }

    /// Whether the store has capacity for one more copy; half of it is left for loads that a
    /// request waits for, `is_ahead` tells that none waits for this one.
    pub(super) fn has_spare_loads(
        &self,
        is_ahead: bool,
        load: &LoadSettings,
    ) -> bool {
        let full_speed = self.max_concurrent_cold_loads(load);
        let allowed = if is_ahead { full_speed / 2 } else { full_speed };
        (self.totals.cold_loads as u64) < allowed
    }

    /// Expected duration of a cold load that starts now on an engine.
    ///
    /// Where copies are planned, an engine whose loads are late counts for itself: a slow machine
    /// says nothing about the loads of others. It counts for all only if most loads are late.
    pub(super) fn cold_time_on(
        &self,
        id: UpstreamId,
        load: &LoadSettings,
        now: Millis,
    ) -> Millis {
        let own = self
            .upstreams
            .get(&id)
            .filter(|up| self.plans_copies(up.service));
        let Some(engine) = own.and_then(|up| up.engine.as_ref()) else {
            return self.cold_time(load, now);
        };
        let of_store = if self.load_punctuality.most_are_late(now) {
            self.load_slowdown.factor(now)
        } else {
            1.0
        };
        let factor = engine.load_slowdown.factor(now).max(of_store);
        Millis((self.nominal_cold_time(load).0 as f64 * factor) as u64)
    }

    /// Expected duration of a cold load that starts now.
    pub(super) fn cold_time(
        &self,
        load: &LoadSettings,
        now: Millis,
    ) -> Millis {
        let expected = self.nominal_cold_time(load).0 as f64;
        Millis((expected * self.load_slowdown.factor(now)) as u64)
    }

    /// Duration of a cold load at the store speed given in the settings.
    ///
    /// It grows in proportion to the loads beyond those that the store serves at full speed.
    pub(super) fn nominal_cold_time(
        &self,
        load: &LoadSettings,
    ) -> Millis {
        let concurrent_loads = self.totals.cold_loads as u64 + 1;
        let max_concurrent_cold = self.max_concurrent_cold_loads(load);
        Millis(load.cold.0 * concurrent_loads.max(max_concurrent_cold) / max_concurrent_cold)
    }

    /// Records that a request was assigned.
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
        upstream.health.note_sent();
        self.report_ages.note(upstream, now);
        if upstream.cold_limit.is_some() {
            upstream.cold_admissions.note(now);
        }
        if let Some(engine) = &mut upstream.engine {
            engine.kv_used += tokens.total;
            engine.backlog.push(request, tokens.prefill_tokens, now);
            if let Some(adapter) = adapter {
                engine.acquire_adapter(adapter, now);
            }
        }
    }

    /// Records that a request is about to be sent.
    pub(super) fn note_sent(
        &mut self,
        id: UpstreamId,
        job: &Job,
        now: Millis,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&id) else {
            return;
        };
        upstream.statements.admissions.note(now);
        if let (Some(engine), Some(generation)) = (&mut upstream.engine, job.generation()) {
            engine.note_prompt(generation.size.prompt);
        }
    }

    /// Records that an assigned request has ended or won't start.
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
                engine.release_adapter(adapter);
            }
        }
    }
}
