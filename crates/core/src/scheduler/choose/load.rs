//! Whether an adapter is loaded for a request, onto which engine, and what has to go for it.

use {
    super::{Copies, ORDER_MS, View, Way},
    crate::{
        ids::{AdapterVersion, ModelId},
        placement::rendezvous,
        scheduler::{
            Generation, Job, WaitReason,
            engine::Engine,
            fleet::Load,
            place::{DEMAND_HALF_LIFE, Place},
            upstream::Upstream,
        },
    },
};

/// What a load from the adapter store counts as beyond its time. The users pay for each a third of what an
/// answer is worth, so it is worth a wait, but not a late answer.
const COLD_LOAD_MS: f64 = 1_500.0;
/// What a load that the engine still has at hand counts as beyond its time.
const WARM_LOAD_MS: f64 = 15.0;
/// How long a place is waited for on an engine that has an adapter at hand while all its places are in use. A
/// generation takes about half a second, and some places have several.
const PLACE_MS: f64 = 300.0;
/// What one recent use of the adapter that would have to go counts as; it will be loaded again.
const EVICTION_MS: f64 = 8.0;
/// The most that counts as.
const MOST_EVICTION_MS: f64 = 150.0;
/// Among engines that are alike, each adapter prefers another one, so that what engines hold at hand differs.
const AFFINITY_MS: f64 = 12.0;

impl View<'_> {
    /// The cost if the adapter were loaded here now.
    pub(super) fn load_way(
        &self,
        generation: &Generation,
        up: &Upstream,
        engine: &Engine,
        wanted: AdapterVersion,
        base: f64,
        copies: Copies,
    ) -> Option<(f64, Way)> {
        if !self.may_order || engine.coming(self.now) >= self.settings.loads.per_engine {
            return None;
        }
        let is_warm = engine.keeps_warm(wanted);
        let Some((evict, eviction_cost)) = self.room_for(generation.model, engine, wanted) else {
            return is_warm.then_some((base + PLACE_MS, Way::Wait(WaitReason::Place)));
        };
        let order_wait = engine.order_wait(self.now)?;
        let takes = self.load_time(is_warm) + ORDER_MS + order_wait.0 as f64;
        let extra = (takes - engine.backlog.wait(self.now)).max(0.0);
        let price = if is_warm {
            WARM_LOAD_MS
        } else {
            cold_price(copies)
        };
        let affinity = rendezvous(u64::from(wanted.adapter.0), u64::from(up.id.0), 1);
        let distance = AFFINITY_MS / (1.0 + affinity);
        let cost = base + extra + price + eviction_cost + distance;
        let way = if engine.takes_orders(self.now) && engine.reserved.is_none() {
            Way::Load {
                adapter: wanted,
                evict,
            }
        } else {
            Way::Wait(WaitReason::Order)
        };
        Some((cost, way))
    }

    /// How long a load takes if it begins now, in milliseconds.
    pub(super) fn load_time(
        &self,
        is_warm: bool,
    ) -> f64 {
        if is_warm {
            self.settings.loads.warm.0 as f64
        } else {
            self.cold_ms
        }
    }

    /// The adapter that would have to go, if one has to, and what that counts as; none where no place can be had.
    fn room_for(
        &self,
        model: ModelId,
        engine: &Engine,
        wanted: AdapterVersion,
    ) -> Option<(Option<AdapterVersion>, f64)> {
        // An older version of the same adapter is replaced in its place, once its runs have ended.
        if let Some(old) = engine.place_of(wanted.adapter) {
            return (engine.users_of(old.adapter) == 0).then_some((None, 0.0));
        }
        if engine.has_free_place(model) {
            return Some((None, 0.0));
        }
        if !self.may_evict {
            return None;
        }
        let value = |place: &Place| {
            let is_old = self.versions.wanted(place.adapter.adapter) != place.adapter;
            let uses = place.demand.get(self.now, DEMAND_HALF_LIFE);
            if is_old { 0.0 } else { uses * EVICTION_MS }
        };
        engine
            .places
            .iter()
            .filter(|place| engine.users_of(place.adapter) == 0 && place.is_present(self.now))
            .filter(|place| !self.wanted.contains_key(&place.adapter.adapter))
            .map(|place| (value(place), place.adapter))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(cost, adapter)| (Some(adapter), cost.min(MOST_EVICTION_MS)))
    }

    /// An older version of the adapter that may still be used while the newer one is being loaded.
    pub(super) fn usable_old(
        &self,
        generation: &Generation,
        engine: &Engine,
    ) -> Option<AdapterVersion> {
        let adapter = generation.adapter?;
        let grace = self.settings.version_grace;
        let wanted = self.versions.wanted(adapter);
        let place = engine.place_of(adapter)?;
        let is_usable = place.adapter != wanted
            && place.is_present(self.now)
            && self.versions.in_grace(adapter, grace, self.now);
        is_usable.then_some(place.adapter)
    }

    pub(super) fn can_take(
        &self,
        job: &Job,
        up: &Upstream,
        engine: &Engine,
    ) -> bool {
        let total = Load::of(job, engine, self.now).total;
        let waits = engine.backlog.wait(self.now) < self.settings.engine_backlog.0 as f64;
        (waits || engine.backlog.is_empty())
            && engine.has_room(up.running, total, self.settings.memory_percent)
    }

    /// Why an engine that could run a request can't take it now.
    pub(super) fn full_reason(
        &self,
        job: &Job,
        up: &Upstream,
        engine: &Engine,
    ) -> WaitReason {
        let total = Load::of(job, engine, self.now).total;
        if engine.has_room(up.running, total, self.settings.memory_percent) {
            WaitReason::Prompts
        } else {
            WaitReason::Memory
        }
    }
}

/// What a load from the adapter store counts as for one request. All that will use the new copy share it: about
/// as many as have used each of the others lately. Counted in full for the first, an adapter that is asked for
/// ten times a second kept one copy until its requests were late.
fn cold_price(copies: Copies) -> f64 {
    COLD_LOAD_MS / (1.0 + copies.uses / (1.0 + copies.count))
}
