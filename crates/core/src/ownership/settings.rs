use crate::clock::Millis;

/// Timeouts and limits of an [`super::OwnerMachine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Orders stop this long before the lease ends, to leave time for them to reach the engine.
    pub lease_margin: Millis,
    /// Whether orders continue after the lease has ended, for example in a long store outage. Running
    /// requests are then protected by releases alone: without a lease, a gateway's end revokes nothing.
    pub can_order_past_lease: bool,
    /// A copy granted to a gateway not heard from for this long stays loaded: it may be in use.
    pub gateway_silence_timeout: Millis,
    /// A recall not completed within this time is cancelled, and another victim is chosen.
    pub recall_timeout: Millis,
    /// How long a new owner waits for gateways to report loaded copies before it starts loads.
    pub report_timeout: Millis,
    /// Minimum time between the load of a copy and its eviction.
    pub min_residence: Millis,
    /// Maximum lag of an engine's report.
    pub max_report_lag: Millis,
    /// Delay after the first failed load; doubles with each further failure.
    pub initial_backoff: Millis,
    /// Maximum delay after failed loads.
    pub max_backoff: Millis,
    /// An unanswered request for load budget is repeated after this time.
    pub budget_retry_delay: Millis,
    /// Half-life of an adapter's demand.
    pub demand_half_life: Millis,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            lease_margin: Millis(500),
            can_order_past_lease: false,
            gateway_silence_timeout: Millis::from_secs(5),
            recall_timeout: Millis::from_secs(2),
            report_timeout: Millis(1500),
            min_residence: Millis(1000),
            max_report_lag: Millis::from_secs(5),
            initial_backoff: Millis(500),
            max_backoff: Millis::from_secs(60),
            budget_retry_delay: Millis(1000),
            demand_half_life: Millis::from_secs(60),
        }
    }
}
