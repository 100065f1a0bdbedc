//! Expected costs of requests at the scheduler: what is reserved for them, and what is learned from
//! those that ended.

use {
    super::{HardLoadSettings, Job, Outcome, Work, fleet::Fleet, running::TrackedRequest},
    crate::{
        clock::Millis,
        costs::{CostEstimate, CostKey, CostPrior, LearnedCost},
        ids::{RequestId, UpstreamId},
    },
};

/// What a request is expected to cost, of a service for which cost estimates take effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ExpectedCost {
    /// Its work at usual pace.
    pub work: CostEstimate,
    /// Prompt and output tokens for which it needs memory, with a margin.
    pub reserved_tokens: u64,
}

impl Job {
    /// What its cost depends on.
    pub(super) fn cost_key(&self) -> CostKey {
        CostKey {
            service: self.service,
            route: self.route,
            account: self.account,
            adapter: self.adapter(),
        }
    }

    /// What it tells about its cost in advance.
    pub(super) const fn cost_prior(&self) -> CostPrior {
        match &self.work {
            Work::Call => CostPrior::Call,
            Work::Generation(generation) => CostPrior::Generation {
                max_tokens: generation.size.output,
                hint: generation.length_hint,
            },
        }
    }
}

impl Fleet {
    /// The expected cost of a request; `None` if cost estimates don't take effect for its service.
    pub(super) fn expected_cost(
        &self,
        job: &Job,
        settings: HardLoadSettings,
        now: Millis,
    ) -> Option<ExpectedCost> {
        if !self.is_active(settings.cost_estimates, job.service, settings) {
            return None;
        }
        let (key, prior) = (job.cost_key(), job.cost_prior());
        let work = self.costs.estimate(&key, prior, now);
        let size = job.generation().map(|generation| generation.size);
        let output = self.costs.output_tokens(&key, prior, work);
        let reserved = size.map_or(0, |size| {
            let output = output.unwrap_or(size.output).min(size.output);
            u64::from(size.prompt) + u64::from(output)
        });
        Some(ExpectedCost {
            work,
            reserved_tokens: reserved,
        })
    }

    /// Adds a request to the work of its upstream; work on a call starts once it has a slot.
    pub(super) fn add_work(
        &mut self,
        id: UpstreamId,
        request: RequestId,
        work: CostEstimate,
        now: Millis,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            let slots = upstream.call_slots();
            upstream.work.add(request, work, slots, now);
        }
    }

    /// Removes a request from the work of its upstream; returns when work on it began, if known.
    pub(super) fn remove_work(
        &mut self,
        id: UpstreamId,
        request: RequestId,
        now: Millis,
    ) -> Option<Millis> {
        let upstream = self.upstreams.get_mut(&id)?;
        let slots = upstream.call_slots();
        upstream.work.remove(request, slots, now)
    }

    /// Learns from a request that was assigned by this scheduler and on which work began at
    /// `started_at`.
    pub(super) fn learn_ended(
        &mut self,
        id: UpstreamId,
        entry: &TrackedRequest,
        started_at: Millis,
        outcome: Outcome,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        let Outcome::Answered { took } = outcome else {
            return;
        };
        let work = match entry.job.work {
            Work::Call => took.since(started_at.since(entry.assigned_at)),
            Work::Generation(_) => now.since(started_at),
        };
        self.learn_cost(id, &entry.job, work, settings, now);
    }

    /// Learns from a request that took `work` in a slot, or from its first event to its end.
    pub(super) fn learn_cost(
        &mut self,
        id: UpstreamId,
        job: &Job,
        work: Millis,
        settings: HardLoadSettings,
        now: Millis,
    ) {
        // The rest of an answer that has begun is less work than the whole.
        if job.has_begun || !self.is_active(settings.cost_estimates, job.service, settings) {
            return;
        }
        let (key, prior) = (job.cost_key(), job.cost_prior());
        let expected_ms = self.costs.estimate(&key, prior, now).mean_ms;
        let mut work_ms = work.0 as f64;
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            work_ms /= upstream.pace_factor(now);
            // Where all upstreams seem slow, it is the estimates that are too low.
            let ratio = work.0 as f64 / expected_ms;
            let of_all = self.paces.entry(job.service).or_default();
            of_all.note(ratio, now);
            upstream.pace.note(ratio / of_all.factor(now), now);
        }
        self.costs.note(&key, prior, work_ms, now);
    }

    /// The `count` costs that rest on the most observations, of services for which they take effect.
    pub(super) fn heaviest_costs(
        &self,
        count: usize,
        settings: HardLoadSettings,
        now: Millis,
    ) -> Vec<LearnedCost> {
        let mut costs = self.costs.heaviest(count, now);
        costs.retain(|cost| self.is_active(settings.cost_estimates, cost.key.service, settings));
        costs
    }
}
