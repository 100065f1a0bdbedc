use {
    super::{
        EngineStatus, LoadSettings,
        backlog::Backlog,
        load_slowdown::LoadSlowdown,
        prefix_cache::PrefixCache,
        resident::{DEMAND_HALF_LIFE, ResidentAdapter, ResidentState},
    },
    crate::{
        IdMap,
        clock::Millis,
        ids::{AdapterId, AdapterVersion, ModelId},
    },
    std::collections::VecDeque,
};

/// Request slots kept free on each engine for requests that the scheduler doesn't control.
const SPARE_SLOTS: u32 = 2;
/// Delay before a stale engine is polled, so that its report isn't older than the event.
///
/// Reports are some hundred milliseconds old.
const REPORT_DELAY: Millis = Millis(350);
/// Expected latency of an order or a report request.
const ORDER_LATENCY: Millis = Millis(5);
/// Consecutive late loads after which the engine is polled for a report.
const MAX_LATE_LOADS: u32 = 3;

/// Assumed size of a prompt before the first request, in tokens.
const INITIAL_PROMPT_TOKENS: f64 = 1_000.0;
/// Weight of one prompt in the moving average of their sizes.
const PROMPT_WEIGHT: f64 = 0.1;

/// Capacity of an engine of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// KV cache capacity, in tokens of running requests.
    pub kv_tokens: u64,
    /// Maximum number of resident adapters, including those being loaded.
    pub adapter_slots: usize,
    /// Memory for base models and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Base model loads from the weight store per second, over all engines.
    pub loads_per_s: f64,
    /// Base models, each with its size and the size of one of its adapters, in megabytes.
    pub models: Vec<(ModelId, f64, f64)>,
}

/// Whether the scheduler's view of an engine matches the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewState {
    /// No difference from the engine is known.
    Synced,
    /// The view may be wrong, for example after an order without a response.
    Stale {
        /// When to request a report.
        request_at: Millis,
    },
    /// A report was requested and has not arrived.
    Requested {
        /// When to request it again.
        retry_at: Millis,
    },
}

/// The scheduler's view of one engine.
#[derive(Clone, Debug)]
pub(super) struct Engine {
    pub limits: EngineLimits,
    pub view_state: ViewState,
    pub seq: u64,
    /// Base models that are loaded.
    pub models: Vec<ModelId>,
    /// Base model being loaded.
    pub loading: Option<ModelId>,
    pub residents: Vec<ResidentAdapter>,
    /// Assigned requests that have not ended, by adapter, including adapters that are not resident.
    users: IdMap<AdapterVersion, u32>,
    /// Adapter that is unloaded once its requests have ended; no orders are sent until then.
    pub unloading: Option<AdapterVersion>,
    /// Whether an order is waiting for its response.
    pub has_pending_order: bool,
    /// When the last order was sent or answered, whichever is later.
    pub last_order_at: Millis,
    /// No orders before this time: orders of the previous scheduler may still arrive.
    pub orders_allowed_at: Millis,
    /// Whether orders are stopped because leadership is about to be handed over.
    pub is_order_paused: bool,
    /// Whether the order in flight is the retry of one that got no response.
    pub has_retried_order: bool,
    /// Adapter that is loaded once the current eviction has made room.
    pub reserved: Option<(ModelId, AdapterVersion)>,
    /// Recently unloaded adapters, oldest first.
    recently_unloaded: VecDeque<AdapterVersion>,
    pub backlog: Backlog,
    pub prefixes: PrefixCache,
    /// KV cache tokens reserved by assigned requests.
    pub kv_used: u64,
    /// Moving average of the size of a prompt, in tokens.
    pub mean_prompt_tokens: f64,
    consecutive_late_loads: u32,
    /// How much slower its loads are than the settings say.
    pub load_slowdown: LoadSlowdown,
}

impl Engine {
    pub(super) fn new(limits: EngineLimits) -> Self {
        Self {
            limits,
            view_state: ViewState::Stale {
                request_at: Millis::ZERO,
            },
            seq: 0,
            models: Vec::new(),
            loading: None,
            residents: Vec::new(),
            users: IdMap::default(),
            unloading: None,
            has_pending_order: false,
            last_order_at: Millis::ZERO,
            orders_allowed_at: Millis::ZERO,
            is_order_paused: false,
            has_retried_order: false,
            reserved: None,
            recently_unloaded: VecDeque::new(),
            backlog: Backlog::default(),
            prefixes: PrefixCache::default(),
            kv_used: 0,
            mean_prompt_tokens: INITIAL_PROMPT_TOKENS,
            consecutive_late_loads: 0,
            load_slowdown: LoadSlowdown::of_engine(),
        }
    }

    /// Resets the state after the engine restarted; assigned requests are kept.
    pub(super) fn restart(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        let mut fresh = Self::new(self.limits.clone());
        fresh.backlog = backlog;
        fresh.kv_used = self.kv_used;
        fresh.load_slowdown = self.load_slowdown;
        fresh.users = std::mem::take(&mut self.users);
        fresh.last_order_at = self.last_order_at;
        fresh.orders_allowed_at = self.orders_allowed_at;
        fresh.is_order_paused = self.is_order_paused;
        *self = fresh;
    }

    /// Records the size of the prompt of an assigned request, in tokens.
    pub(super) fn note_prompt(
        &mut self,
        tokens: u32,
    ) {
        self.mean_prompt_tokens += (f64::from(tokens) - self.mean_prompt_tokens) * PROMPT_WEIGHT;
    }

    /// Replaces the view with the engine's status; assigned requests are kept.
    pub(super) fn apply_status(
        &mut self,
        status: &EngineStatus,
        load: &LoadSettings,
        now: Millis,
    ) {
        let before = std::mem::take(&mut self.residents);
        let old =
            |adapter: AdapterVersion| before.iter().find(|resident| resident.adapter == adapter);
        let merge = |model, adapter, state| match old(adapter) {
            Some(resident) => ResidentAdapter { state, ..*resident },
            None => ResidentAdapter::new(model, adapter, state),
        };
        let loaded = status
            .adapters
            .iter()
            .map(|&(model, adapter)| merge(model, adapter, ResidentState::Loaded));
        let new_load = ResidentState::Loading {
            ready_at: now + load.cold,
            is_cold: true,
        };
        let still_loading = status.coming.iter().map(|&(model, adapter)| {
            let state = old(adapter).map_or(new_load, |resident| match resident.state {
                ResidentState::Loading { .. } => resident.state,
                _ => new_load,
            });
            merge(model, adapter, state)
        });
        self.residents = loaded.chain(still_loading).collect();
        if let Some(resident) = self
            .unloading
            .and_then(|unloading| self.resident_mut(unloading))
        {
            resident.state = ResidentState::Unloading;
        } else {
            self.unloading = None;
        }
        for resident in before {
            if self.resident(resident.adapter).is_none() && resident.is_loaded(now) {
                self.remove_resident(resident.adapter, load.warm_capacity);
            }
        }
        self.seq = status.seq.unwrap_or(self.seq);
        self.models.clone_from(&status.models);
        if self
            .loading
            .is_some_and(|model| status.models.contains(&model))
        {
            self.loading = None;
        }
        self.consecutive_late_loads = 0;
    }

    /// Marks the view as up to date after a report, unless an unload is still pending.
    pub(super) fn mark_synced(
        &mut self,
        now: Millis,
    ) {
        self.reserved = None;
        if self.unloading.is_some() {
            self.mark_stale(now);
        } else {
            self.view_state = ViewState::Synced;
        }
    }

    /// Marks the view as stale until the next report.
    pub(super) fn mark_stale(
        &mut self,
        now: Millis,
    ) {
        self.reserved = None;
        self.view_state = ViewState::Stale {
            request_at: now + REPORT_DELAY,
        };
    }

    /// Requests a report at once if the view is up to date.
    pub(super) fn check_view(
        &mut self,
        now: Millis,
    ) {
        if self.view_state == ViewState::Synced {
            self.view_state = ViewState::Stale { request_at: now };
        }
    }

    /// Requests a report at this time, unless one is requested sooner.
    pub(super) fn request_report_at(
        &mut self,
        at: Millis,
    ) {
        self.view_state = match self.view_state {
            ViewState::Synced => ViewState::Stale { request_at: at },
            ViewState::Stale { request_at } => ViewState::Stale {
                request_at: request_at.min(at),
            },
            ViewState::Requested { retry_at } => ViewState::Requested {
                retry_at: retry_at.min(at),
            },
        };
    }

    /// Returns whether a report is due, and if so schedules the next attempt.
    fn take_due_report(
        &mut self,
        now: Millis,
    ) -> bool {
        let is_due = self.report_due().is_some_and(|at| now >= at);
        if is_due {
            self.view_state = ViewState::Requested {
                retry_at: now + REPORT_DELAY,
            };
        }
        is_due
    }

    /// Starts a report request if one is due; returns when to stop waiting for the response.
    pub(super) fn start_report_request(
        &mut self,
        now: Millis,
    ) -> Option<Millis> {
        let wants = !self.has_pending_order && self.take_due_report(now);
        wants.then(|| self.report_due()).flatten()
    }

    /// When the next report is due, if one is needed.
    pub(super) fn report_due(&self) -> Option<Millis> {
        match self.view_state {
            ViewState::Synced => None,
            ViewState::Stale { request_at } => Some(request_at.max(self.orders_allowed_at)),
            ViewState::Requested { retry_at } => Some(retry_at),
        }
    }

    /// Whether a load or unload can be ordered: none pending, none held back, view synced.
    pub(super) fn can_take_order(
        &self,
        now: Millis,
    ) -> bool {
        !self.is_order_paused
            && !self.has_pending_order
            && now >= self.orders_allowed_at
            && self.view_state == ViewState::Synced
    }

    /// Estimated time until an order can be sent; `None` if orders are stopped.
    pub(super) fn order_wait(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        let answer = match self.view_state {
            _ if self.has_pending_order => ORDER_LATENCY,
            ViewState::Synced => Millis::ZERO,
            ViewState::Stale { request_at } => request_at.since(now) + ORDER_LATENCY,
            ViewState::Requested { .. } => ORDER_LATENCY,
        };
        (!self.is_order_paused).then(|| answer.max(self.orders_allowed_at.since(now)))
    }

    /// Records that an order was sent.
    pub(super) const fn note_order(
        &mut self,
        now: Millis,
    ) {
        self.has_pending_order = true;
        self.last_order_at = now;
    }

    /// Whether a report predates the last order.
    ///
    /// A report that counts fewer orders is outdated only for a short time after the last
    /// order. Later it is the view that is wrong: an engine may or may not count an order that
    /// had no effect, and ignoring its reports would block its orders permanently.
    pub(super) fn is_report_outdated(
        &self,
        status: &EngineStatus,
        now: Millis,
    ) -> bool {
        let counts_less = status.seq.is_some_and(|seq| seq < self.seq);
        counts_less && now.since(self.last_order_at) < REPORT_DELAY
    }

    /// Whether one more request fits beside the assigned ones.
    pub(super) fn has_capacity(
        &self,
        running: u32,
        tokens: u64,
        kv_fill_percent: u64,
    ) -> bool {
        let memory = self.limits.kv_tokens * kv_fill_percent / 100;
        running + SPARE_SLOTS < self.limits.slots
            && (self.kv_used == 0 || self.kv_used + tokens <= memory)
    }

    pub(super) fn resident(
        &self,
        adapter: AdapterVersion,
    ) -> Option<&ResidentAdapter> {
        self.residents
            .iter()
            .find(|resident| resident.adapter == adapter)
    }

    pub(super) fn resident_mut(
        &mut self,
        adapter: AdapterVersion,
    ) -> Option<&mut ResidentAdapter> {
        self.residents
            .iter_mut()
            .find(|resident| resident.adapter == adapter)
    }

    /// The residents with this id: one, or two while a version replaces another.
    pub(super) fn versions_of(
        &self,
        adapter: AdapterId,
    ) -> impl Iterator<Item = &ResidentAdapter> {
        let residents = self.residents.iter();
        residents.filter(move |resident| resident.adapter.adapter == adapter)
    }

    /// Whether any version of the adapter is resident.
    pub(super) fn has_any_version(
        &self,
        adapter: AdapterId,
    ) -> bool {
        self.versions_of(adapter).next().is_some()
    }

    /// Whether an adapter of this model can be loaded without an eviction.
    pub(super) fn has_free_adapter_slot(
        &self,
        model: ModelId,
    ) -> bool {
        self.residents.len() < self.limits.adapter_slots && self.has_memory_for(model)
    }

    /// How long its work takes relative to the engines of its service; 1 is as usual.
    ///
    /// By load reports where they take effect, otherwise by the measured times of its prompts.
    pub(super) fn pace(
        &self,
        now: Millis,
    ) -> f64 {
        self.backlog.slowness_at(now)
    }

    /// Number of adapters being loaded.
    pub(super) fn loading_adapter_count(
        &self,
        now: Millis,
    ) -> usize {
        let is_loading = |resident: &&ResidentAdapter| matches!(resident.state, ResidentState::Loading { ready_at, .. } if now < ready_at);
        self.residents.iter().filter(is_loading).count()
    }

    /// Number of adapters being loaded from the adapter store.
    pub(super) fn cold_loads(
        &self,
        now: Millis,
    ) -> usize {
        let is_cold = |resident: &&ResidentAdapter| matches!(resident.state, ResidentState::Loading { ready_at, is_cold: true } if now < ready_at);
        self.residents.iter().filter(is_cold).count()
    }

    /// Whether the adapter was unloaded recently, so that it reloads quickly.
    pub(super) fn was_unloaded_recently(
        &self,
        adapter: AdapterVersion,
    ) -> bool {
        self.recently_unloaded.contains(&adapter)
    }

    /// Whether any version of the adapter is resident or was unloaded recently.
    pub(super) fn may_hold(
        &self,
        adapter: AdapterId,
    ) -> bool {
        let was_held = self
            .recently_unloaded
            .iter()
            .any(|dropped| dropped.adapter == adapter);
        was_held || self.has_any_version(adapter)
    }

    /// Number of assigned requests that use the adapter.
    pub(super) fn users_of(
        &self,
        adapter: AdapterVersion,
    ) -> u32 {
        self.users.get(&adapter).copied().unwrap_or_default()
    }

    /// Whether an assigned request is already probing whether the adapter is loaded.
    pub(super) fn is_being_probed(
        &self,
        adapter: AdapterVersion,
    ) -> bool {
        let needs_probe = self
            .resident(adapter)
            .is_some_and(ResidentAdapter::needs_probe);
        needs_probe && self.users_of(adapter) > 0
    }

    /// Records a request that uses the adapter.
    pub(super) fn acquire_adapter(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) {
        *self.users.entry(adapter).or_default() += 1;
        if let Some(resident) = self.resident_mut(adapter) {
            resident.demand.add(1.0, now, DEMAND_HALF_LIFE);
        }
    }

    /// Records the end of a request that used the adapter.
    pub(super) fn release_adapter(
        &mut self,
        adapter: AdapterVersion,
    ) {
        if let Some(users) = self.users.get_mut(&adapter) {
            *users -= 1;
            if *users == 0 {
                self.users.remove(&adapter);
            }
        }
    }

    /// Removes a resident adapter and remembers it as recently unloaded.
    pub(super) fn remove_resident(
        &mut self,
        adapter: AdapterVersion,
        warm_capacity: usize,
    ) {
        self.residents
            .retain(|resident| resident.adapter != adapter);
        self.recently_unloaded.retain(|&dropped| dropped != adapter);
        self.recently_unloaded.push_back(adapter);
        while self.recently_unloaded.len() > warm_capacity {
            self.recently_unloaded.pop_front();
        }
    }

    /// Records a load that takes longer than expected; requests a report after several in a row.
    pub(super) fn note_late(
        &mut self,
        adapter: AdapterVersion,
        now: Millis,
    ) {
        self.consecutive_late_loads += 1;
        if self.consecutive_late_loads >= MAX_LATE_LOADS {
            self.consecutive_late_loads = 0;
            self.view_state = ViewState::Stale { request_at: now };
        }
        if let Some(resident) = self.resident_mut(adapter) {
            resident.note_late(now);
        }
    }

    /// Records that a request found the adapter loaded.
    pub(super) fn note_loaded(
        &mut self,
        adapter: AdapterVersion,
    ) {
        self.consecutive_late_loads = 0;
        if let Some(resident) = self.resident_mut(adapter)
            && matches!(resident.state, ResidentState::Loading { .. })
        {
            resident.state = ResidentState::Loaded;
            resident.late_count = 0;
        }
    }

    /// When the engine accepted the order to load this adapter from the adapter store.
    ///
    /// `None` without an acceptance: such an order may be executed seconds later, which says
    /// nothing about the speed of the store.
    pub(super) fn cold_load_accepted_at(
        &self,
        adapter: AdapterVersion,
    ) -> Option<Millis> {
        let resident = self.resident(adapter)?;
        let is_cold = matches!(resident.state, ResidentState::Loading { is_cold: true, .. });
        resident.accepted_at.filter(|_| is_cold)
    }

    fn has_memory_for(
        &self,
        model: ModelId,
    ) -> bool {
        let size = |id: ModelId| self.limits.models.iter().find(|&&(of, ..)| of == id);
        let weights: f64 = self
            .models
            .iter()
            .filter_map(|&id| size(id))
            .map(|&(_, mb, _)| mb)
            .sum();
        let adapters: f64 = self
            .residents
            .iter()
            .filter_map(|resident| size(resident.model))
            .map(|&(_, _, mb)| mb)
            .sum();
        let added = size(model).map_or(0.0, |&(_, _, mb)| mb);
        weights + adapters + added <= self.limits.weights_mb
    }
}
