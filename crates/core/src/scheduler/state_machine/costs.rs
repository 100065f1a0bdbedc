//! Costs of requests: what this VM learns from its own requests, and what VMs tell a new scheduler.

use {
    super::Scheduler,
    crate::{
        clock::Millis,
        costs::{CostErrors, CostEstimate, LearnedCost},
        ids::UpstreamId,
        scheduler::Job,
    },
};

/// Bound on the costs that a VM tells a new scheduler.
const MAX_TOLD_COSTS: usize = 64;

impl Scheduler {
    /// Learns from a request of this VM's own callers that another scheduler assigned and that was
    /// answered; `work` is its time to the end, for a generation from the first event on.
    pub fn note_own_cost(
        &mut self,
        job: &Job,
        upstream: UpstreamId,
        work: Millis,
        now: Millis,
    ) {
        let settings = self.settings.hard_load;
        self.fleet.learn_cost(upstream, job, work, settings, now);
    }

    /// Expected work of a request; `None` if cost estimates don't take effect for its service.
    pub fn expected_cost(
        &self,
        job: &Job,
        now: Millis,
    ) -> Option<CostEstimate> {
        let settings = self.settings.hard_load;
        let expected = self.fleet.expected_cost(job, settings, now);
        expected.map(|expected| expected.work)
    }

    /// What this VM has learned of costs, for a new scheduler.
    pub fn cost_history(
        &self,
        now: Millis,
    ) -> Vec<LearnedCost> {
        let settings = self.settings.hard_load;
        self.fleet.heaviest_costs(MAX_TOLD_COSTS, settings, now)
    }

    /// Adds what a VM learned of costs before this scheduler took over; `vm` is a hash of its name.
    /// Returns how many figures aren't credible and are ignored.
    ///
    /// A VM that connects again is counted once: this scheduler has learned from its requests since.
    pub fn add_cost_history(
        &mut self,
        vm: u64,
        history: &[LearnedCost],
        now: Millis,
    ) -> usize {
        if !self.told_costs.insert(vm) {
            return 0;
        }
        let told = history.iter().take(MAX_TOLD_COSTS);
        told.filter(|cost| !self.fleet.costs.merge(cost, now))
            .count()
    }

    /// Ratios of measured to expected costs.
    pub const fn cost_errors(&self) -> &CostErrors {
        self.fleet.costs.errors()
    }

    /// Number of learned costs.
    pub fn costs_len(&self) -> usize {
        self.fleet.costs.len()
    }
}
