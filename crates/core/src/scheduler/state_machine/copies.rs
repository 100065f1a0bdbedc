//! Copies of adapters ahead of demand.

use {
    super::Scheduler,
    crate::{
        adapter_demand::{PlannedCopy, RequestedAdapter, Trend},
        clock::Millis,
        ids::AdapterId,
        scheduler::{
            CopyStatistics, Job, LOCAL_VM, PlannedLoad, SchedulerAction as Action,
            choose::{CopyDemand, SelectionContext},
            engine::Engine,
            fleet_totals::FleetTotals,
            loads,
        },
    },
};

/// Minimum time between two planning steps; short compared with a load.
const MIN_PLANNING_INTERVAL: Millis = Millis(10);
/// Planning steps are rarer in a large fleet, as each counts the copies on all engines: by this factor than its totals.
const TOTALS_PER_STEP: u64 = 4;
/// Queued requests of an adapter from which they call for another copy; fewer are served by those that it has.
const MIN_QUEUED: u32 = 2;
/// How many load times the queue of one copy may take: it is partly served while another copy is loaded.
const LOADS_PER_QUEUE: f64 = 1.5;
/// Bound on the copies of one adapter that one step orders.
const MAX_COPIES_PER_STEP: u32 = 3;
/// Bound on the planned loads kept for the log.
const MAX_LOGGED: usize = 64;

impl Scheduler {
    /// Records the arrival of a request for the demand of its adapter.
    pub(super) fn note_demand(
        &mut self,
        job: &Job,
        now: Millis,
    ) {
        let Some(generation) = job.generation() else {
            return;
        };
        if let Some(adapter) = generation.adapter
            && job.attempt == 1
            && self.fleet.plans_copies(job.service)
        {
            self.demand
                .note(job.service, generation.model, adapter, now);
        }
    }

    /// Loads copies of the adapters requested since the last step for which a queue or a rising rate calls.
    pub(super) fn plan_copies(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        let interval = FleetTotals::refresh_interval(self.fleet.upstreams.len());
        let interval = Millis(interval.0 * TOTALS_PER_STEP).max(MIN_PLANNING_INTERVAL);
        if !self.can_order
            || self.demand.known_adapters() == 0
            || now < self.copies_planned_at + interval
        {
            return;
        }
        self.copies_planned_at = now;
        self.review_copies(now);
        if now < self.evictions_allowed_at {
            return;
        }
        for requested in self.demand.take_requested() {
            for _ in 0..MAX_COPIES_PER_STEP {
                let Some(action) = self.plan_copy(requested, now) else {
                    break;
                };
                actions.push(action);
            }
        }
    }

    /// Counts the copies on all engines, and judges those that were loaded ahead of demand.
    fn review_copies(
        &mut self,
        now: Millis,
    ) {
        let engines = self.fleet.upstreams.values();
        let engines = engines.filter_map(|up| up.engine.as_ref());
        self.demand.set_copies(engines.flat_map(held_adapters));
        let fleet = &self.fleet;
        self.usefulness.review(now, |copy: &PlannedCopy| {
            let engine = fleet.engine(copy.upstream)?;
            let is_reserved = engine.reserved.is_some_and(|(_, of)| of == copy.adapter);
            match engine.resident(copy.adapter) {
                None if is_reserved => Some(false),
                None => None,
                Some(resident) => Some(resident.demand.get(now, Millis::from_secs(1)) > 0.0),
            }
        });
    }

    fn plan_copy(
        &mut self,
        requested: RequestedAdapter,
        now: Millis,
    ) -> Option<Action> {
        let Self {
            fleet,
            versions,
            settings,
            queued_adapters,
            demand: table,
            usefulness,
            ..
        } = self;
        let RequestedAdapter {
            service, adapter, ..
        } = requested;
        let demand = CopyDemand::of(table, fleet, service)?;
        let copies = table.copies(adapter);
        let queued = queued_adapters.requests(adapter);
        let trend = table.trend(adapter, now);
        let by_rate = match trend {
            Trend::Rising => table.copies_wanted(adapter, demand.work_ms, now),
            Trend::Steady | Trend::Falling => 0,
        };
        let load_ms = fleet.nominal_cold_time(&settings.loads).0 as f64;
        let by_queue = match queued {
            0..MIN_QUEUED => 0,
            _ => (f64::from(queued) * demand.work_ms / (load_ms * LOADS_PER_QUEUE)).ceil() as u32,
        };
        let wanted = by_rate.max(by_queue);
        // A copy that queued requests call for isn't ahead of demand.
        let is_ahead = by_queue <= copies;
        if is_ahead && !usefulness.allows(now) {
            return None;
        }
        // The first copy is loaded for the request that needs it.
        if copies == 0 || copies >= wanted {
            return None;
        }
        let rate = table.rate(adapter, now);
        let wanted_version = versions.wanted(adapter);
        let selection = SelectionContext {
            fleet,
            versions,
            settings,
            queued_adapters,
            can_order: true,
            can_evict: true,
            cold_load_ms: load_ms,
            demand: Some(demand),
            expected: None,
            deciding_vms: 1,
            vm: LOCAL_VM,
            avoided: &[],
            crashed: &[],
            now,
        };
        let value = rate / f64::from(copies + 1);
        let plan = selection.choose_copy(requested, wanted_version, value, is_ahead)?;
        let action = loads::begin(fleet, versions, &plan, &settings.loads, now)?;
        table.note_copy(adapter);
        usefulness.planned += 1;
        if is_ahead {
            usefulness.note_ahead(PlannedCopy {
                upstream: plan.upstream,
                adapter: wanted_version,
                ordered_at: now,
            });
        }
        if self.planned_loads.len() < MAX_LOGGED {
            self.planned_loads.push(PlannedLoad {
                upstream: plan.upstream,
                adapter,
                rate,
                trend,
                queued,
                copies,
                wanted,
            });
        }
        Some(action)
    }

    /// The loads ahead of demand since the last call, for the log.
    pub fn take_planned_loads(&mut self) -> Vec<PlannedLoad> {
        std::mem::take(&mut self.planned_loads)
    }

    /// Counts of copies loaded ahead of demand.
    pub fn copy_statistics(&self) -> CopyStatistics {
        CopyStatistics {
            planned: self.usefulness.planned,
            in_vain: self.usefulness.in_vain,
            copies: self.demand.total_copies(),
            adapters: self.demand.known_adapters() as u64,
        }
    }
}

fn held_adapters(engine: &Engine) -> impl Iterator<Item = AdapterId> + '_ {
    let residents = engine.residents.iter().map(|held| held.adapter.adapter);
    residents.chain(engine.reserved.map(|(_, reserved)| reserved.adapter))
}
