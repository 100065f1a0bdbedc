//! Cost of loading an adapter onto an engine, and which adapter to evict for it.

use {
    super::{
        AdapterCopies, ORDER_ROUND_TRIP_MS, SelectionContext, ServingOption, cost::request_interval,
    },
    crate::{
        clock::Millis,
        ids::{AdapterVersion, ModelId, UpstreamId},
        placement::rendezvous_score,
        scheduler::{
            Generation, Job, WaitReason,
            engine::Engine,
            request_load::Load,
            resident::{DEMAND_HALF_LIFE, ResidentAdapter},
            upstream::Upstream,
        },
    },
};

/// Penalty for a load from the adapter store, besides its time. High enough to prefer a short wait
/// to a load, but not a late answer.
///
/// The users pay about a third of what an answer is worth for each.
const COLD_LOAD_PENALTY_MS: f64 = 1_500.0;
/// Penalty for reloading an adapter from the engine's cache, besides its time.
const WARM_LOAD_PENALTY_MS: f64 = 15.0;
/// Expected wait for an adapter slot on an engine that caches the adapter while all its slots are
/// in use.
///
/// A generation takes about half a second, and a slot may have several.
const SLOT_WAIT_MS: f64 = 300.0;
/// Penalty per recent use of the adapter to evict, which will probably be loaded again.
const EVICTION_PENALTY_MS: f64 = 8.0;
const MAX_EVICTION_PENALTY_MS: f64 = 150.0;
/// The same where copies are planned by demand: the uses that an eviction makes wait are known there, over all engines.
///
/// Such a use waits for a load. With the low penalty, adapters are evicted on fast engines while slow ones have free slots.
const KNOWN_EVICTION_PENALTY_MS: f64 = 250.0;
const MAX_KNOWN_EVICTION_PENALTY_MS: f64 = 300.0;
/// Factor on the expected time to the first token where that may not be late; covers the error of the estimate.
const FIRST_TOKEN_MARGIN: f64 = 2.0;
/// Maximum penalty for an engine that the adapter doesn't prefer; spreads adapters over otherwise
/// equal engines.
const MAX_AFFINITY_PENALTY_MS: f64 = 12.0;

impl SelectionContext<'_> {
    /// The option of loading the adapter here, with its cost in milliseconds; `None` if the engine
    /// can't load it.
    pub(super) fn load_option(
        &self,
        generation: &Generation,
        up: &Upstream,
        engine: &Engine,
        wanted: AdapterVersion,
        base: f64,
        copies: AdapterCopies,
    ) -> Option<(f64, ServingOption)> {
        if !self.can_order
            || up.evacuated_from.is_some()
            || engine.loading_adapter_count(self.now) >= self.settings.loads.max_per_engine
        {
            return None;
        }
        let is_warm = engine.was_unloaded_recently(wanted);
        let Some((evict, eviction_cost)) = self.find_slot(generation.model, engine, wanted) else {
            return is_warm.then_some((
                base + SLOT_WAIT_MS,
                ServingOption::Wait(WaitReason::AdapterSlot),
            ));
        };
        let order_wait = engine.order_wait(self.now)?;
        let load_ms = self.load_time_ms(up.id, is_warm) + ORDER_ROUND_TRIP_MS + order_wait.0 as f64;
        let extra = (load_ms - engine.backlog.wait(self.now)).max(0.0);
        let load_penalty = if is_warm {
            WARM_LOAD_PENALTY_MS
        } else {
            cold_load_penalty(copies)
        };
        let affinity_score = rendezvous_score(u64::from(wanted.adapter.0), u64::from(up.id.0), 1);
        let affinity_penalty = MAX_AFFINITY_PENALTY_MS / (1.0 + affinity_score);
        let cost =
            base + extra + load_penalty + eviction_cost + affinity_penalty + request_interval(up);
        let option = if engine.can_take_order(self.now) && engine.reserved.is_none() {
            ServingOption::Load {
                adapter: wanted,
                evict,
            }
        } else {
            ServingOption::Wait(WaitReason::Order)
        };
        Some((cost, option))
    }

    /// Expected time of a load that starts now, in milliseconds.
    pub(super) fn load_time_ms(
        &self,
        engine: UpstreamId,
        is_warm: bool,
    ) -> f64 {
        if is_warm {
            self.settings.loads.warm.0 as f64
        } else if self.demand.is_some() {
            let load = &self.settings.loads;
            self.fleet.cold_time_on(engine, load, self.now).0 as f64
        } else {
            self.cold_load_ms
        }
    }

    /// The adapter to evict, if any, and the eviction penalty in milliseconds; `None` if no slot
    /// can be freed.
    pub(super) fn find_slot(
        &self,
        model: ModelId,
        engine: &Engine,
        wanted: AdapterVersion,
    ) -> Option<(Option<AdapterVersion>, f64)> {
        // An older version of the same adapter is replaced in its slot once no request uses it.
        // While that is still being loaded itself, the engine may need a second slot.
        if engine.has_any_version(wanted.adapter) {
            let is_replaceable = engine
                .versions_of(wanted.adapter)
                .all(|old| engine.users_of(old.adapter) == 0 && old.can_be_evicted(self.now));
            return is_replaceable.then_some((None, 0.0));
        }
        if engine.has_free_adapter_slot(model) {
            return Some((None, 0.0));
        }
        if !self.can_evict {
            return None;
        }
        let max_penalty = match self.demand {
            Some(_) => MAX_KNOWN_EVICTION_PENALTY_MS,
            None => MAX_EVICTION_PENALTY_MS,
        };
        let eviction_cost = |resident: &ResidentAdapter| {
            let is_old = self.versions.wanted(resident.adapter.adapter) != resident.adapter;
            let recent_uses = resident.demand.get(self.now, DEMAND_HALF_LIFE);
            let value = self
                .demand
                .map(|demand| demand.recent_uses_of_copy(resident.adapter.adapter, self.now));
            if is_old {
                0.0
            } else if let Some(recent_uses) = value {
                recent_uses * KNOWN_EVICTION_PENALTY_MS
            } else {
                recent_uses * EVICTION_PENALTY_MS
            }
        };
        engine
            .residents
            .iter()
            .filter(|resident| {
                engine.users_of(resident.adapter) == 0 && resident.can_be_evicted(self.now)
            })
            .filter(|resident| self.queued_adapters.requests(resident.adapter.adapter) == 0)
            .map(|resident| (eviction_cost(resident), resident.adapter))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(cost, adapter)| (Some(adapter), cost.min(max_penalty)))
    }

    /// An older version on this engine on which the request can begin in time while the new one is loading.
    pub(super) fn usable_old_version(
        &self,
        job: &Job,
        generation: &Generation,
        engine: &Engine,
    ) -> Option<AdapterVersion> {
        let first_token = Millis((self.first_token_ms(job, engine) * FIRST_TOKEN_MARGIN) as u64);
        let usable = engine
            .versions_of(generation.adapter?)
            .filter(|resident| resident.is_loaded(self.now))
            .map(|resident| resident.adapter)
            .filter(|&adapter| {
                let until = self.older_usable_until(generation, adapter);
                until.is_some_and(|until| self.now + first_token < until)
            });
        usable.max_by_key(|adapter| adapter.version)
    }

    /// Until when the request may begin on a version; `None` if no newer one is announced.
    fn older_usable_until(
        &self,
        generation: &Generation,
        adapter: AdapterVersion,
    ) -> Option<Millis> {
        let AdapterVersion { adapter, version } = adapter;
        let until = self.versions.usable_until(adapter, Some(version))?;
        // The forwarding VM withdraws the request at its own limit.
        let own_limit = generation.newest.filter(|newest| version < newest.version);
        Some(own_limit.map_or(until, |newest| until.min(newest.older_until)))
    }

    /// Whether the engine has backlog capacity, a request slot and memory for the request now.
    pub(super) fn has_capacity_for(
        &self,
        job: &Job,
        up: &Upstream,
        engine: &Engine,
    ) -> bool {
        let total = self.memory_tokens(job, engine);
        let waits = engine.backlog.wait(self.now) < self.settings.engine_backlog.0 as f64;
        self.is_admitted(up)
            && self.fleet.has_room_for_body(up, job, self.now)
            && (waits || engine.backlog.is_empty())
            && engine.has_capacity(up.running, total, self.settings.kv_fill_percent)
    }

    /// Prompt and output tokens to reserve for the request in an engine's KV cache.
    fn memory_tokens(
        &self,
        job: &Job,
        engine: &Engine,
    ) -> u64 {
        let expected = self.expected.map(|expected| expected.reserved_tokens);
        expected.unwrap_or_else(|| Load::of(job, engine, self.now).total)
    }

    /// Which limit keeps an engine from accepting a request now.
    pub(super) fn full_reason(
        &self,
        job: &Job,
        up: &Upstream,
        engine: &Engine,
    ) -> WaitReason {
        let total = self.memory_tokens(job, engine);
        if !self.is_within_request_limit(up) {
            WaitReason::RequestLimit
        } else if !self.fleet.has_room_for_body(up, job, self.now) {
            WaitReason::Memory
        } else if self.fleet.cold_wait(up, self.now) != Some(Millis::ZERO) {
            WaitReason::ColdUpstream
        } else if engine.has_capacity(up.running, total, self.settings.kv_fill_percent) {
            WaitReason::Prefill
        } else {
            WaitReason::Memory
        }
    }
}

/// Penalty of a cold load for one request, in milliseconds.
///
/// The penalty is shared by the requests expected to use the new copy, estimated from the recent
/// uses per copy, so that an adapter in demand gets another copy before its requests are late.
fn cold_load_penalty(copies: AdapterCopies) -> f64 {
    COLD_LOAD_PENALTY_MS / (1.0 + copies.recent_uses / (1.0 + copies.count))
}
