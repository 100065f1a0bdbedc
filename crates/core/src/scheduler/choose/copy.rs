//! Which engine gets a copy of an adapter ahead of demand.

use {
    super::{LoadPlan, SelectionContext},
    crate::{
        adapter_demand::{AdapterDemand, RequestedAdapter},
        clock::Millis,
        ids::{AdapterId, AdapterVersion, ServiceId},
        scheduler::{engine::Engine, fleet::Fleet, resident::DEMAND_HALF_LIFE, upstream::Upstream},
    },
};

/// Cost of one request a second that loses its copy, in milliseconds: it waits for a load.
const LOST_RATE_MS: f64 = 250.0;
/// Part of the new copy's requests that the requests of the evicted one may be.
const MAX_LOST_PART: f64 = 0.5;
/// Cost per running request of an engine, in milliseconds.
const PER_RUNNING_REQUEST_MS: f64 = 2.0;

/// Demand for adapters on the engines of one service.
#[derive(Clone, Copy, Debug)]
pub(in crate::scheduler) struct CopyDemand<'a> {
    pub table: &'a AdapterDemand,
    /// Time of a usual request on an engine of usual speed, in milliseconds.
    pub work_ms: f64,
}

impl<'a> CopyDemand<'a> {
    /// The demand for a service whose copies are planned.
    pub(in crate::scheduler) fn of(
        table: &'a AdapterDemand,
        fleet: &Fleet,
        service: ServiceId,
    ) -> Option<Self> {
        let prefill = fleet.prefill_time(service);
        fleet.plans_copies(service).then(|| Self {
            table,
            work_ms: prefill.time_for(prefill.typical_tokens),
        })
    }

    /// Requests per second that one copy of the adapter serves.
    pub(in crate::scheduler) fn copy_value(
        self,
        adapter: AdapterId,
        now: Millis,
    ) -> f64 {
        self.table.copy_value(adapter, self.work_ms, now)
    }

    /// [`Self::copy_value`] as a sum that decays with [`DEMAND_HALF_LIFE`].
    pub(in crate::scheduler) fn recent_uses_of_copy(
        self,
        adapter: AdapterId,
        now: Millis,
    ) -> f64 {
        let unit_sum = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.copy_value(adapter, now) * unit_sum
    }
}

impl SelectionContext<'_> {
    /// The load of one more copy of an adapter on the engine where it costs least; `None` if no engine can take it or each
    /// would lose about as much.
    pub(in crate::scheduler) fn choose_copy(
        &self,
        requested: RequestedAdapter,
        adapter: AdapterVersion,
        value: f64,
        is_ahead: bool,
    ) -> Option<LoadPlan> {
        let demand = self.demand?;
        let members = self.fleet.members(requested.service).iter();
        let members = members.map(|id| self.fleet.upstreams.get(id));
        let salt = u64::from(adapter.adapter.0);
        let sample = self.sample(members, salt, |up| up.accepts_requests(self.now));
        let plans = sample.engines.into_iter().filter_map(|up| {
            let engine = up.engine.as_ref()?;
            if !self.can_load_copy(up, engine, requested, adapter) {
                return None;
            }
            let is_warm = engine.was_unloaded_recently(adapter);
            if !is_warm && !self.fleet.has_spare_loads(is_ahead, &self.settings.loads) {
                return None;
            }
            let (evict, _) = self.find_slot(requested.model, engine, adapter)?;
            let lost = evict.map_or(0.0, |old| demand.copy_value(old.adapter, self.now));
            if lost > value * MAX_LOST_PART {
                return None;
            }
            let cost = engine.backlog.wait(self.now)
                + self.copy_work_ms(engine, demand, value)
                + self.load_time_ms(up.id, is_warm)
                + f64::from(up.running) * PER_RUNNING_REQUEST_MS
                + lost * LOST_RATE_MS;
            let plan = LoadPlan {
                upstream: up.id,
                model: requested.model,
                adapter,
                evict,
            };
            Some((cost, plan))
        });
        let cheapest = plans.min_by(|a, b| a.0.total_cmp(&b.0));
        cheapest.map(|(_, plan)| plan)
    }

    /// Time that the requests of the copy take on this engine within a second, in milliseconds; the adapters in highest
    /// demand go to the fastest engines by it.
    fn copy_work_ms(
        &self,
        engine: &Engine,
        demand: CopyDemand<'_>,
        value: f64,
    ) -> f64 {
        demand.work_ms * engine.pace(self.now) * value.max(1.0)
    }

    fn can_load_copy(
        &self,
        up: &Upstream,
        engine: &Engine,
        requested: RequestedAdapter,
        adapter: AdapterVersion,
    ) -> bool {
        self.can_order
            && up.evacuated_from.is_none()
            && up.health.is_available(self.now)
            && engine.models.contains(&requested.model)
            && !engine.has_any_version(adapter.adapter)
            && engine.reserved.is_none()
            && engine.can_take_order(self.now)
            && engine.loading_adapter_count(self.now) < self.settings.loads.max_per_engine
            && self.is_admitted(up)
    }
}
