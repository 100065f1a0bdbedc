//! Orders that load and unload adapters, and loads of base models.

use {
    super::{
        LoadSettings, Order, OrderResult, SchedulerAction,
        announced_versions::AnnouncedVersions,
        choose::LoadPlan,
        engine::Engine,
        fleet::Fleet,
        resident::{ResidentAdapter, ResidentState},
    },
    crate::{
        clock::Millis,
        ids::{ModelId, UpstreamId},
    },
    std::collections::VecDeque,
};

/// Sliding window in which base model loads are counted.
const LOAD_WINDOW: Millis = Millis::from_secs(5);
/// Share of the allowed load rate to use, in percent; loads start some time after their orders.
const LOAD_RATE_PERCENT: f64 = 90.0;

/// Recent orders to load base models, counted for the rate limit of the weight store.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelLoads {
    ordered: VecDeque<Millis>,
}

impl ModelLoads {
    /// Loads a base model on each engine that has none, within the rate of the weight store.
    ///
    /// Engines restart without a model, and nothing else loads one.
    pub(super) fn plan(
        &mut self,
        fleet: &mut Fleet,
        now: Millis,
    ) -> Vec<SchedulerAction> {
        while self
            .ordered
            .front()
            .is_some_and(|&at| now.since(at) >= LOAD_WINDOW)
        {
            self.ordered.pop_front();
        }
        let mut actions = Vec::new();
        for up in fleet
            .upstreams
            .values_mut()
            .filter(|up| up.is_available() && up.evacuated_from.is_none())
        {
            let Some(engine) = &mut up.engine else {
                continue;
            };
            let allowed =
                engine.limits.loads_per_s * LOAD_WINDOW.as_secs_f64() * LOAD_RATE_PERCENT / 100.0;
            if engine.models.is_empty()
                && engine.loading.is_none()
                && engine.can_take_order(now)
                && ((self.ordered.len() + 1) as f64) <= allowed.max(1.0)
                && let Some(&(model, ..)) = engine.limits.models.first()
            {
                self.ordered.push_back(now);
                actions.push(order_model(up.id, engine, model, now));
            }
        }
        actions
    }
}

fn order_model(
    upstream: UpstreamId,
    engine: &mut Engine,
    model: ModelId,
    now: Millis,
) -> SchedulerAction {
    engine.note_order(now);
    engine.loading = Some(model);
    SchedulerAction::Order {
        upstream,
        order: Order::LoadModel(model),
        after_seq: engine.seq,
    }
}

/// Starts a load, with an unload first if the plan evicts an adapter.
pub(super) fn begin(
    fleet: &mut Fleet,
    versions: &AnnouncedVersions,
    plan: &LoadPlan,
    load: &LoadSettings,
    now: Millis,
) -> Option<SchedulerAction> {
    let load_time = fleet.cold_time_on(plan.upstream, load, now);
    let engine = fleet.engine_mut(plan.upstream)?;
    if !engine.can_take_order(now) {
        return None;
    }
    let is_cold = !engine.was_unloaded_recently(plan.adapter);
    engine.note_order(now);
    let after_seq = engine.seq;
    let order = if let Some(evicted) = plan.evict {
        engine.reserved = Some((plan.model, plan.adapter));
        let resident = engine.resident_mut(evicted)?;
        resident.state = ResidentState::Unloading;
        Order::Unload {
            model: resident.model,
            adapter: evicted,
        }
    } else {
        let order = load_order(engine, versions, plan, load, load_time, now);
        fleet.totals.cold_loads += usize::from(is_cold);
        order
    };
    fleet.note_holder(plan.adapter.adapter, plan.upstream);
    Some(SchedulerAction::Order {
        upstream: plan.upstream,
        order,
        after_seq,
    })
}

fn load_order(
    engine: &mut Engine,
    versions: &AnnouncedVersions,
    plan: &LoadPlan,
    load: &LoadSettings,
    cold_time: Millis,
    now: Millis,
) -> Order {
    let is_cold = !engine.was_unloaded_recently(plan.adapter);
    let takes = if is_cold { cold_time } else { load.warm };
    let state = ResidentState::Loading {
        ready_at: now + takes,
        is_cold,
    };
    engine
        .residents
        .retain(|resident| resident.adapter.adapter != plan.adapter.adapter);
    engine
        .residents
        .push(ResidentAdapter::new(plan.model, plan.adapter, state));
    Order::Load {
        model: plan.model,
        adapter: plan.adapter,
        announced: versions.announced_version(plan.adapter.adapter).is_some(),
    }
}

/// Handles the response to an order; returns the next order, if any.
///
/// That is a retry, or the load that follows a completed eviction.
pub(super) fn order_ended(
    fleet: &mut Fleet,
    versions: &AnnouncedVersions,
    upstream: UpstreamId,
    order: Order,
    end: OrderResult,
    load: &LoadSettings,
    now: Millis,
) -> Option<SchedulerAction> {
    let cold_time = fleet.cold_time_on(upstream, load, now);
    let engine = fleet.engine_mut(upstream)?;
    engine.has_pending_order = false;
    engine.last_order_at = now;
    if end == OrderResult::Lost && !std::mem::replace(&mut engine.has_retried_order, true) {
        // Retry at once. If the retry is accepted, the engine's sequence number has advanced, and
        // the first order is rejected whenever it arrives.
        engine.note_order(now);
        let after_seq = engine.seq;
        return Some(SchedulerAction::Order {
            upstream,
            order,
            after_seq,
        });
    }
    // A rejected order had no effect, unless it was the retry of one that was accepted.
    let had_no_effect = !std::mem::replace(&mut engine.has_retried_order, false)
        && matches!(end, OrderResult::Conflict | OrderResult::Refused);
    if had_no_effect {
        revert(engine, order);
    }
    let reserved = engine.reserved.take();
    match (order, end) {
        (Order::Load { adapter, .. }, OrderResult::Accepted) => {
            engine.seq += 1;
            let takes = if engine.was_unloaded_recently(adapter) {
                load.warm
            } else {
                cold_time
            };
            if let Some(resident) = engine.resident_mut(adapter)
                && let ResidentState::Loading { is_cold, .. } = resident.state
            {
                let ready_at = now + takes;
                resident.state = ResidentState::Loading { ready_at, is_cold };
                resident.accepted_at = Some(now);
            }
        }
        (Order::Load { adapter, .. }, OrderResult::Holds) => engine.note_loaded(adapter),
        (Order::Unload { adapter, .. }, OrderResult::Holds) => {
            engine.seq += 1;
            engine.remove_resident(adapter, load.warm_capacity);
            return load_reserved(engine, versions, upstream, reserved, load, cold_time, now);
        }
        // A request unknown to this scheduler still uses the adapter; it is unloaded when that
        // ends.
        (Order::Unload { adapter, .. }, OrderResult::Accepted) => {
            engine.seq += 1;
            engine.unloading = Some(adapter);
            engine.mark_stale(now);
        }
        (Order::LoadModel(_), OrderResult::Accepted) => engine.seq += 1,
        (Order::LoadModel(model), OrderResult::Holds) => {
            engine.loading = None;
            engine.models.push(model);
        }
        (_, OrderResult::OtherUpstream) => {
            if let Some(up) = fleet.upstreams.get_mut(&upstream) {
                up.is_ready = false;
            }
        }
        (order, OrderResult::Unsent) => {
            revert(engine, order);
            engine.mark_stale(now);
            if let Some(up) = fleet.upstreams.get_mut(&upstream) {
                up.health.note_unreachable(now);
            }
        }
        // The order may have been executed, or may still be.
        (Order::LoadModel(_), _) => {
            engine.loading = None;
            engine.mark_stale(now);
        }
        (_, _) => engine.mark_stale(now),
    }
    None
}

/// Reverts the view for an order that had no effect.
fn revert(
    engine: &mut Engine,
    order: Order,
) {
    match order {
        Order::Load { adapter, .. } => engine
            .residents
            .retain(|resident| resident.adapter != adapter),
        Order::Unload { adapter, .. } => {
            if let Some(resident) = engine.resident_mut(adapter) {
                resident.state = ResidentState::Loaded;
            }
        }
        Order::LoadModel(_) => engine.loading = None,
    }
}

fn load_reserved(
    engine: &mut Engine,
    versions: &AnnouncedVersions,
    upstream: UpstreamId,
    reserved: Option<(ModelId, crate::ids::AdapterVersion)>,
    load: &LoadSettings,
    cold_time: Millis,
    now: Millis,
) -> Option<SchedulerAction> {
    let (model, adapter) = reserved?;
    if !engine.can_take_order(now) || !engine.has_free_adapter_slot(model) {
        return None;
    }
    let plan = LoadPlan {
        upstream,
        model,
        adapter,
        evict: None,
    };
    engine.note_order(now);
    let after_seq = engine.seq;
    Some(SchedulerAction::Order {
        upstream,
        order: load_order(engine, versions, &plan, load, cold_time, now),
        after_seq,
    })
}
