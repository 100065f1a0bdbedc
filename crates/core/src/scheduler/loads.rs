//! Orders that put a load plan into effect, and loads of base models.

use {
    super::{
        LoadSettings, Order, OrderEnd, SchedulerAction,
        choose::LoadPlan,
        engine::Engine,
        fleet::Fleet,
        place::{Place, PlaceState},
        version_book::VersionBook,
    },
    crate::{
        clock::Millis,
        ids::{ModelId, UpstreamId},
    },
    std::collections::VecDeque,
};

/// The time over which loads of base models are counted.
const WINDOW: Millis = Millis::from_secs(5);
/// The part of the allowed rate of such loads that is used, in percent; loads begin somewhat after their orders.
const USED_PERCENT: f64 = 90.0;

/// Loads of base models that were ordered lately.
#[derive(Clone, Debug, Default)]
pub(super) struct ModelLoads {
    ordered: VecDeque<Millis>,
}

impl ModelLoads {
    /// Orders a base model on engines that hold none, as fast as the weight store allows.
    ///
    /// An engine restarts empty, and nobody else fills it: without this it stays idle for good.
    pub(super) fn plan(
        &mut self,
        fleet: &mut Fleet,
        now: Millis,
    ) -> Vec<SchedulerAction> {
        while self
            .ordered
            .front()
            .is_some_and(|&at| now.since(at) >= WINDOW)
        {
            self.ordered.pop_front();
        }
        let mut actions = Vec::new();
        for up in fleet.upstreams.values_mut().filter(|up| up.is_ready) {
            let Some(engine) = &mut up.engine else {
                continue;
            };
            let allowed = engine.limits.loads_per_s * WINDOW.as_secs_f64() * USED_PERCENT / 100.0;
            if engine.models.is_empty()
                && engine.loading.is_none()
                && engine.takes_orders(now)
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

/// Begins a load: with an order to drop another adapter where one has to go.
pub(super) fn begin(
    fleet: &mut Fleet,
    versions: &VersionBook,
    plan: &LoadPlan,
    load: &LoadSettings,
    now: Millis,
) -> Option<SchedulerAction> {
    let load_time = fleet.cold_time(load, now);
    let engine = fleet.engine_mut(plan.upstream)?;
    if !engine.takes_orders(now) {
        return None;
    }
    let is_cold = !engine.keeps_warm(plan.adapter);
    engine.note_order(now);
    let after_seq = engine.seq;
    let order = if let Some(evicted) = plan.evict {
        engine.reserved = Some((plan.model, plan.adapter));
        let place = engine.place_mut(evicted)?;
        place.state = PlaceState::Going;
        Order::Unload {
            model: place.model,
            adapter: evicted,
        }
    } else {
        let order = load_order(engine, versions, plan, load, load_time, now);
        fleet.totals.coming_cold += usize::from(is_cold);
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
    versions: &VersionBook,
    plan: &LoadPlan,
    load: &LoadSettings,
    cold: Millis,
    now: Millis,
) -> Order {
    let is_cold = !engine.keeps_warm(plan.adapter);
    let takes = if is_cold { cold } else { load.warm };
    let state = PlaceState::Coming {
        ready_at: now + takes,
        is_cold,
    };
    engine
        .places
        .retain(|place| place.adapter.adapter != plan.adapter.adapter);
    engine
        .places
        .push(Place::new(plan.model, plan.adapter, state));
    Order::Load {
        model: plan.model,
        adapter: plan.adapter,
        announced: versions.announced_version(plan.adapter.adapter).is_some(),
    }
}

/// Takes the answer to an order; where a place was made free, the load that it was made for follows.
pub(super) fn order_ended(
    fleet: &mut Fleet,
    versions: &VersionBook,
    upstream: UpstreamId,
    order: Order,
    end: OrderEnd,
    load: &LoadSettings,
    now: Millis,
) -> Option<SchedulerAction> {
    let cold = fleet.cold_time(load, now);
    let engine = fleet.engine_mut(upstream)?;
    engine.has_order = false;
    engine.ordered_at = now;
    if end == OrderEnd::Lost && !std::mem::replace(&mut engine.has_repeated, true) {
        // Once more at once: if it is accepted now, the first one is void whenever it arrives, as the engine has
        // accepted another number of orders by then.
        engine.note_order(now);
        let after_seq = engine.seq;
        return Some(SchedulerAction::Order {
            upstream,
            order,
            after_seq,
        });
    }
    // An order that the engine refuses has changed nothing, unless it was the second try of one that it had accepted.
    let is_void = !std::mem::replace(&mut engine.has_repeated, false)
        && matches!(end, OrderEnd::Conflict | OrderEnd::Refused);
    if is_void {
        undo(engine, order);
    }
    let reserved = engine.reserved.take();
    match (order, end) {
        (Order::Load { adapter, .. }, OrderEnd::Accepted) => {
            engine.seq += 1;
            let takes = if engine.keeps_warm(adapter) {
                load.warm
            } else {
                cold
            };
            if let Some(place) = engine.place_mut(adapter)
                && let PlaceState::Coming { is_cold, .. } = place.state
            {
                let ready_at = now + takes;
                place.state = PlaceState::Coming { ready_at, is_cold };
                place.accepted_at = Some(now);
            }
        }
        (Order::Load { adapter, .. }, OrderEnd::Holds) => engine.note_ready(adapter),
        (Order::Unload { adapter, .. }, OrderEnd::Holds) => {
            engine.seq += 1;
            engine.drop_place(adapter, load.kept_warm);
            return follow(engine, versions, upstream, reserved, load, cold, now);
        }
        // It is used after all, by a request that this scheduler doesn't know, and goes when that has ended.
        (Order::Unload { adapter, .. }, OrderEnd::Accepted) => {
            engine.seq += 1;
            engine.going = Some(adapter);
            engine.doubt(now);
        }
        (Order::LoadModel(_), OrderEnd::Accepted) => engine.seq += 1,
        (Order::LoadModel(model), OrderEnd::Holds) => {
            engine.loading = None;
            engine.models.push(model);
        }
        (_, OrderEnd::OtherUpstream) => {
            if let Some(up) = fleet.upstreams.get_mut(&upstream) {
                up.is_ready = false;
            }
        }
        (order, OrderEnd::Unsent) => {
            undo(engine, order);
            engine.doubt(now);
            if let Some(up) = fleet.upstreams.get_mut(&upstream) {
                up.health.missed(now);
            }
        }
        // What the engine holds now is not known: it may have been carried out, or may still be.
        (Order::LoadModel(_), _) => {
            engine.loading = None;
            engine.doubt(now);
        }
        (_, _) => engine.doubt(now),
    }
    None
}

/// An order that never left has changed nothing.
fn undo(
    engine: &mut Engine,
    order: Order,
) {
    match order {
        Order::Load { adapter, .. } => engine.places.retain(|place| place.adapter != adapter),
        Order::Unload { adapter, .. } => {
            if let Some(place) = engine.place_mut(adapter) {
                place.state = PlaceState::Present;
            }
        }
        Order::LoadModel(_) => engine.loading = None,
    }
}

fn follow(
    engine: &mut Engine,
    versions: &VersionBook,
    upstream: UpstreamId,
    reserved: Option<(ModelId, crate::ids::AdapterVersion)>,
    load: &LoadSettings,
    cold: Millis,
    now: Millis,
) -> Option<SchedulerAction> {
    let (model, adapter) = reserved?;
    if !engine.takes_orders(now) || !engine.has_free_place(model) {
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
        order: load_order(engine, versions, &plan, load, cold, now),
        after_seq,
    })
}
