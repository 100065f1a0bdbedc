use crate::clock::Millis;

/// Times and bounds of an [`super::OwnerMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Orders stop this long before the lease ends: what an order needs to reach the engine.
    pub lease_margin: Millis,
    /// Whether orders go on after the lease has ended, as in a long outage of the store, when no lease
    /// can be renewed. What protects work is then the gateways' words alone: nothing is concluded
    /// from a gateway's end while there is no lease.
    pub orders_past_lease: bool,
    /// A gateway that has not been heard of for this long is passed over when a victim is chosen.
    pub silent_after: Millis,
    /// A recall that is not answered in this time makes room for another victim.
    pub recall_patience: Millis,
    /// How long a new owner waits for witnesses before it loads what may be there already.
    pub gather_patience: Millis,
    /// An instance is not evicted for this long after its load.
    pub min_residence: Millis,
    /// How far an engine's report may lag behind.
    pub report_lag: Millis,
    /// The pause after a first failed load; it doubles with each further one.
    pub first_backoff: Millis,
    /// The longest pause after failed loads.
    pub max_backoff: Millis,
    /// A question for load budget that was not answered is asked again after this time.
    pub budget_retry: Millis,
    /// In this time an adapter's past demand counts half.
    pub demand_half_life: Millis,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            lease_margin: Millis(500),
            orders_past_lease: false,
            silent_after: Millis::from_secs(5),
            recall_patience: Millis::from_secs(2),
            gather_patience: Millis(1500),
            min_residence: Millis(1000),
            report_lag: Millis::from_secs(5),
            first_backoff: Millis(500),
            max_backoff: Millis::from_secs(60),
            budget_retry: Millis(1000),
            demand_half_life: Millis::from_secs(60),
        }
    }
}
