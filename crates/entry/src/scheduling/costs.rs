//! Costs of requests at this process's scheduler, by the names of services, routes, accounts and
//! adapters.

use {
    super::{CostSpec, JobSpec, LocalScheduler, RunningSpec},
    jasmine_core::{clock::Millis, costs::CostErrors},
    jasmine_telemetry::log::Line,
    xxhash_rust::xxh3::xxh3_64,
};

/// Most costs that are read of what a VM tells.
const MAX_READ_COSTS: usize = 64;

impl LocalScheduler {
    /// Learns from a request of this VM's own callers that the leader assigned and that was answered;
    /// `work` is its time to the end, for a generation from the first event on.
    pub fn note_own_cost(
        &self,
        running: &RunningSpec,
        work: Millis,
    ) {
        let now = self.clock.now();
        let mut names = self.names.borrow_mut();
        let job = running.job.resolve(&mut names, now);
        let upstream = names.upstream(&running.upstream);
        let mut scheduler = self.scheduler.borrow_mut();
        scheduler.note_own_cost(&job, upstream, work, now);
    }

    /// Expected work of a request by what this VM has learned; `None` if cost estimates don't take
    /// effect for its service.
    pub fn expected_cost(
        &self,
        spec: &JobSpec,
    ) -> Option<Millis> {
        let now = self.clock.now();
        let job = spec.resolve(&mut self.names.borrow_mut(), now);
        let cost = self.scheduler.borrow().expected_cost(&job, now)?;
        Some(Millis(cost.mean_ms as u64))
    }

    /// What this VM tells a new leader of costs.
    pub(super) fn learned_costs(&self) -> Vec<CostSpec> {
        let costs = self.scheduler.borrow().cost_history(self.clock.now());
        let names = self.names.borrow();
        costs
            .iter()
            .map(|cost| CostSpec::of(cost, &names))
            .collect()
    }

    /// Adds what `vm` learned of costs before this VM took over.
    pub(super) fn add_costs(
        &self,
        vm: &str,
        costs: &[CostSpec],
    ) {
        let mut names = self.names.borrow_mut();
        let read = costs.iter().take(MAX_READ_COSTS);
        let learned: Vec<_> = read.filter_map(|cost| cost.resolve(&mut names)).collect();
        let now = self.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        let ignored = scheduler.add_cost_history(xxh3_64(vm.as_bytes()), &learned, now);
        let ignored = ignored + costs.len() - learned.len();
        if ignored > 0 {
            Line::new("learned_costs_ignored")
                .with("vm", vm)
                .with("count", ignored)
                .with("of", costs.len())
                .info();
        }
    }

    /// Ratios of measured to expected costs.
    pub fn cost_errors(&self) -> CostErrors {
        *self.scheduler.borrow().cost_errors()
    }

    /// Number of learned costs.
    pub fn costs_len(&self) -> usize {
        self.scheduler.borrow().costs_len()
    }
}
