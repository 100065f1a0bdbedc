use super::CostKey;

/// What a VM has learned of the cost of requests, as it tells it to a new scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedCost {
    /// A service as a whole, one of its routes, an account on a route, or an adapter.
    pub key: CostKey,
    /// Milliseconds for a service, otherwise the ratio to what is expected without this key.
    pub mean: f64,
    /// Mean deviation relative to the mean.
    pub deviation: f64,
    /// Number of observations on which it rests.
    pub weight: f64,
}
