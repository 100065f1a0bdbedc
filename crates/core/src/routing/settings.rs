use crate::{clock::Millis, ids::DataCentreId};

/// Where a gateway stands, and the times and bounds of its [`super::Router`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RouterSettings {
    /// The gateway's own data centre.
    pub data_centre: DataCentreId,
    /// Requests an engine may have, in batches: more wait in the gateway's fair queue instead.
    pub max_fill: f64,
    /// From this fill of all copies on, one more copy is asked for.
    pub spread_fill: f64,
    /// What another data centre costs, in batches.
    pub far_cost: f64,
    /// Engines whose cost differs by no more than this, in batches, count as equally good.
    pub tie: f64,
    /// A grant that has not been used for this long is given back.
    pub idle_release: Millis,
    /// A question that was not answered in this time is forgotten.
    pub ask_timeout: Millis,
    /// A waiting request is routed again after this time at the latest.
    pub recheck: Millis,
    /// How long an engine is not asked for an adapter that it turned out not to have.
    pub not_loaded_pause: Millis,
    /// Failures in a row after which an upstream gets nothing for a while.
    pub trip_after: u32,
    /// How long it gets nothing the first time; this doubles each time.
    pub first_pause: Millis,
    /// The longest it gets nothing.
    pub max_pause: Millis,
}

impl RouterSettings {
    /// The defaults for a gateway in this data centre.
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
