use {
    super::{
        CostErrors, CostEstimate, CostKey, CostPrior, LearnedCost, cost_table::CostTable,
        learned_mean::LearnedMean, service_costs::ServiceCosts,
    },
    crate::{clock::Millis, ids::ServiceId},
    std::collections::HashMap,
};

/// Bound on the entries of routes, accounts and adapters.
pub const MAX_ENTRIES: usize = 16_384;
/// Bound on the services.
const MAX_SERVICES: usize = 1_024;
/// Earlier observations of one entry count at most this many together, so that a wrong entry recovers
/// within about a hundred requests.
const MAX_WEIGHT: f64 = 48.0;
/// An observation counts at most this many times the estimate.
const MAX_OBSERVED_RATIO: f64 = 10.0;
/// Shortest work that is told apart from none, in milliseconds.
const MIN_WORK_MS: f64 = 0.1;
/// Standard deviation in mean deviations, as of a normal distribution.
const STANDARD_DEVIATION: f64 = 1.25;
/// Deviations by which output tokens are estimated above the mean.
const TOKEN_MARGIN: f64 = 1.0;
/// Bounds of what another process may tell.
const TOLD_MS: std::ops::RangeInclusive<f64> = 0.01..=3_600_000.0;
const TOLD_RATIO: std::ops::RangeInclusive<f64> = 0.001..=1_000.0;
const MAX_TOLD_DEVIATION: f64 = 100.0;

/// Expected costs of requests, learned from those that ended.
///
/// The cost is that of the service times a ratio each for the route, the account and the adapter.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    services: HashMap<ServiceId, ServiceCosts>,
    table: CostTable,
    errors: CostErrors,
}

impl CostModel {
    /// Expected work of a request.
    pub fn estimate(
        &self,
        key: &CostKey,
        prior: CostPrior,
        now: Millis,
    ) -> CostEstimate {
        let service = self.service(key.service, prior);
        let mut ratio = 1.0;
        let mut deviation = service.work.deviation;
        for learned in key
            .levels()
            .iter()
            .flatten()
            .filter_map(|level| self.table.get(level))
        {
            ratio *= learned.shrunk(1.0, now);
            deviation = learned.shrunk_deviation(deviation, now);
        }
        let mean_ms = (service.work_ms(prior) * ratio).max(MIN_WORK_MS);
        CostEstimate {
            mean_ms,
            deviation_ms: mean_ms * deviation * STANDARD_DEVIATION,
        }
    }

    /// Output tokens for which a generation needs memory, with a margin and at most its stated maximum;
    /// `None` while too little is known.
    pub fn output_tokens(
        &self,
        key: &CostKey,
        prior: CostPrior,
        estimate: CostEstimate,
    ) -> Option<u32> {
        let CostPrior::Generation { max_tokens, .. } = prior else {
            return None;
        };
        let token_ms = self.services.get(&key.service)?.token_ms()?;
        let work_ms = estimate.mean_ms + estimate.deviation_ms * TOKEN_MARGIN;
        Some(((work_ms / token_ms).ceil() as u32).clamp(1, max_tokens.max(1)))
    }

    /// Records the work of a request that ended, in milliseconds at usual pace.
    pub fn note(
        &mut self,
        key: &CostKey,
        prior: CostPrior,
        work_ms: f64,
        now: Millis,
    ) {
        if !work_ms.is_finite() || work_ms < 0.0 {
            return;
        }
        let work_ms = work_ms.max(MIN_WORK_MS);
        let expected = self.estimate(key, prior, now).mean_ms;
        self.errors.note(work_ms, expected);
        let work_ms = work_ms.min(expected * MAX_OBSERVED_RATIO);
        let levels = key.levels();
        let mut ratios = levels.map(|level| self.ratio(level, now));
        if !self.services.contains_key(&key.service) && self.services.len() >= MAX_SERVICES {
            return;
        }
        // Each level explains what the others leave: the mean of the service doesn't change when
        // more requests of a costly account come.
        let service = self
            .services
            .entry(key.service)
            .or_insert_with(|| ServiceCosts::new(prior));
        service.note(prior, work_ms, ratios.iter().product(), now);
        let base = service.work_ms(prior);
        for (at, level) in levels.into_iter().enumerate() {
            let Some(level) = level else { continue };
            let others: f64 = ratios.iter().product::<f64>() / ratios[at];
            let learned = self.table.entry(level, MAX_ENTRIES);
            let observed = work_ms / (base * others).max(f64::MIN_POSITIVE);
            learned.note(observed.min(*TOLD_RATIO.end()), MAX_WEIGHT, now);
            ratios[at] = learned.shrunk(1.0, now);
        }
    }

    /// The `count` entries of the greatest weight, services as a whole first.
    pub fn heaviest(
        &self,
        count: usize,
        now: Millis,
    ) -> Vec<LearnedCost> {
        let learned = |key: CostKey, learned: &LearnedMean| LearnedCost {
            key,
            mean: learned.mean,
            deviation: learned.deviation,
            weight: learned.weight(now),
        };
        let services = self.services.iter();
        let mut costs: Vec<LearnedCost> = services
            .map(|(&service, known)| learned(CostKey::of_service(service), &known.work))
            .chain(self.table.iter().map(|(&key, known)| learned(key, known)))
            .filter(|cost| cost.weight > 0.0)
            .collect();
        costs.sort_by(|a, b| {
            let services_first = b.key.is_service().cmp(&a.key.is_service());
            services_first
                .then(b.weight.total_cmp(&a.weight))
                .then(a.key.cmp(&b.key))
        });
        costs.truncate(count);
        costs
    }

    /// Adds what another process learned, by weight; returns whether it is credible.
    pub fn merge(
        &mut self,
        told: &LearnedCost,
        now: Millis,
    ) -> bool {
        let bounds = if told.key.is_service() {
            TOLD_MS
        } else {
            TOLD_RATIO
        };
        let is_credible = told.key.is_level()
            && bounds.contains(&told.mean)
            && (0.0..=MAX_TOLD_DEVIATION).contains(&told.deviation)
            && told.weight.is_finite()
            && told.weight > 0.0;
        if !is_credible {
            return false;
        }
        let weight = told.weight.min(MAX_WEIGHT);
        let learned = LearnedMean::new(told.mean, told.deviation, weight, now);
        // Figures of many VMs count alike; the next observation limits their weight.
        let max_weight = MAX_WEIGHT * 64.0;
        if !told.key.is_service() {
            self.table
                .entry(told.key, MAX_ENTRIES)
                .merge(&learned, max_weight, now);
        } else if self.services.contains_key(&told.key.service)
            || self.services.len() < MAX_SERVICES
        {
            let service = self.services.entry(told.key.service);
            service
                .or_insert_with(|| ServiceCosts::new(CostPrior::Call))
                .merge(&learned, max_weight, now);
        }
        true
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.services.len() + self.table.len()
    }

    /// Whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Ratios of measured to expected costs.
    pub const fn errors(&self) -> &CostErrors {
        &self.errors
    }

    fn service(
        &self,
        service: ServiceId,
        prior: CostPrior,
    ) -> ServiceCosts {
        let known = self.services.get(&service).copied();
        known.unwrap_or_else(|| ServiceCosts::new(prior))
    }

    fn ratio(
        &self,
        level: Option<CostKey>,
        now: Millis,
    ) -> f64 {
        let learned = level.and_then(|level| self.table.get(&level));
        learned.map_or(1.0, |learned| {
            learned.shrunk(1.0, now).max(f64::MIN_POSITIVE)
        })
    }
}
