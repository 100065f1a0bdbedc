use crate::{clock::Millis, ids::DataCentreId};

/// Data centre, timeouts and limits of a [`super::Router`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// The gateway's own data centre.
    pub data_centre: DataCentreId,
    /// Maximum load of an engine, in batches; more requests wait in the gateway's fair queue.
    pub max_utilisation: f64,
    /// Load of all copies, in batches, from which one more copy is requested.
    pub extra_copy_utilisation: f64,
    /// Cost added for an upstream in another data centre, in batches.
    pub remote_cost: f64,
    /// Maximum cost difference between upstreams that count as equal, in batches.
    pub cost_tolerance: f64,
    /// A grant is released after it has been unused for this long.
    pub idle_grant_timeout: Millis,
    /// An acquire request without a reply expires after this time.
    pub acquire_timeout: Millis,
    /// Maximum delay until a waiting request is routed again.
    pub max_recheck_delay: Millis,
    /// How long an engine that reported an adapter as not loaded is not asked for it.
    pub not_loaded_delay: Millis,
    /// Consecutive failures that open the circuit breaker of an upstream.
    pub breaker_threshold: u32,
    /// How long the breaker stays open the first time; doubles each time.
    pub min_breaker_delay: Millis,
    /// Maximum time that the breaker stays open.
    pub max_breaker_delay: Millis,
}

impl RouterSettings {
    /// The defaults for a gateway in `data_centre`.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            max_utilisation: 1.25,
            extra_copy_utilisation: 0.9,
            remote_cost: 0.05,
            cost_tolerance: 0.1,
            idle_grant_timeout: Millis::from_secs(2),
            acquire_timeout: Millis::from_secs(10),
            max_recheck_delay: Millis(250),
            not_loaded_delay: Millis(500),
            breaker_threshold: 3,
            min_breaker_delay: Millis::from_secs(1),
            max_breaker_delay: Millis::from_secs(30),
        }
    }
}
