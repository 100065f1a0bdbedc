use crate::{clock::Millis, ids::DataCentreId};

/// Data centre, timeouts and limits of a [`super::Router`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// The gateway's own data centre.
    pub data_centre: DataCentreId,
    /// Maximum load of an engine, in batches; more requests wait in the gateway's fair queue.
    pub max_fill: f64,
    /// Load of all copies, in batches, from which one more copy is requested.
    pub spread_fill: f64,
    /// Cost added for an upstream in another data centre, in batches.
    pub far_cost: f64,
    /// Maximum cost difference between upstreams that count as equal, in batches.
    pub tie: f64,
    /// A grant is released after it has been unused for this long.
    pub idle_release: Millis,
    /// An acquire request without a reply expires after this time.
    pub ask_timeout: Millis,
    /// Maximum delay until a waiting request is routed again.
    pub recheck: Millis,
    /// How long an engine that reported an adapter as not loaded is not asked for it.
    pub not_loaded_pause: Millis,
    /// Consecutive failures that open the circuit breaker of an upstream.
    pub trip_after: u32,
    /// How long the breaker stays open the first time; doubles each time.
    pub first_pause: Millis,
    /// Maximum time that the breaker stays open.
    pub max_pause: Millis,
}

impl RouterSettings {
    /// The defaults for a gateway in `data_centre`.
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            max_fill: 1.25,
            spread_fill: 0.9,
            far_cost: 0.05,
            tie: 0.1,
            idle_release: Millis::from_secs(2),
            ask_timeout: Millis::from_secs(10),
            recheck: Millis(250),
            not_loaded_pause: Millis(500),
            trip_after: 3,
            first_pause: Millis::from_secs(1),
            max_pause: Millis::from_secs(30),
        }
    }
}
