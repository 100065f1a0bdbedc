use {
    super::{EvacuationTimes, HardLoadSettings},
    crate::clock::Millis,
};

/// Retry budget of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

impl Default for RetrySettings {
    /// One retry per ten requests plus ten more, over 10 s, unless the configuration sets a budget.
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window: Millis::from_secs(10),
        }
    }
}

/// Limits and expected times of adapter loads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSettings {
    /// Duration of a load from the adapter store.
    pub cold: Millis,
    /// Duration of a load of a recently unloaded adapter.
    pub warm: Millis,
    /// Cold loads over all engines that can run concurrently at full speed.
    pub max_concurrent_cold: u32,
    /// Upper bound of concurrent loads on one engine.
    pub max_per_engine: usize,
    /// Recently unloaded adapters that an engine can reload quickly.
    pub warm_capacity: usize,
}

impl Default for LoadSettings {
    /// The specified durations and limits; `warm_capacity` is a safe lower estimate.
    fn default() -> Self {
        Self {
            cold: Millis(250),
            warm: Millis(25),
            max_concurrent_cold: 8,
            max_per_engine: 4,
            warm_capacity: 25,
        }
    }
}

/// Settings of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Prefill work sent ahead to an engine, in milliseconds.
    ///
    /// Enough to keep the engine busy while the next message is in transit.
    pub engine_backlog: Millis,
    /// Share of an engine's KV cache to fill, in percent.
    ///
    /// The rest absorbs longer outputs and rounding; a full engine preempts running streams.
    pub kv_fill_percent: u64,
    /// Minimum time of a generation from its assignment to its first event.
    pub min_generation_time: Millis,
    /// Minimum duration of a call.
    pub min_call_time: Millis,
    /// Time from the last moment at which a version of an adapter was known to be absent until
    /// requests may no longer begin on an older one.
    pub older_version_time: Millis,
    /// How long a new scheduler sends no orders.
    ///
    /// Zero where engines check fencing tokens; other engines may still execute orders of the
    /// previous scheduler.
    pub order_gap: Millis,
    /// When evacuations take effect.
    pub evacuation: EvacuationTimes,
    /// Limits and expected times of adapter loads.
    pub loads: LoadSettings,
    /// Retry budget of each service.
    pub repeats: RetrySettings,
    /// Most bytes of requests that one upstream may hold over all VMs; 0 for no limit.
    pub upstream_bytes: u64,
    /// When the parts that answer hard load take effect.
    pub hard_load: HardLoadSettings,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            engine_backlog: Millis(150),
            kv_fill_percent: 90,
            min_generation_time: Millis(120),
            min_call_time: Millis(30),
            older_version_time: Millis(4_600),
            order_gap: Millis::ZERO,
            evacuation: EvacuationTimes {
                moving: Millis::ZERO,
                latest_effect: Millis(4_500),
            },
            loads: LoadSettings::default(),
            repeats: RetrySettings::default(),
            upstream_bytes: 0,
            hard_load: HardLoadSettings::default(),
        }
    }
}
