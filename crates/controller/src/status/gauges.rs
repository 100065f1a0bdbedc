use {
    opentelemetry::metrics::Meter,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Gauges set by the controller's thread and readable from any thread.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    values: Arc<[AtomicU64; Gauge::ALL.len()]>,
}

/// One gauge of the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Current configuration revision.
    Revision,
    /// Revision that the gateway on this VM uses.
    GatewayRevision,
    /// Milliseconds since the store confirmed the current revision.
    FreshMs,
    /// Current epoch of rights.
    Epoch,
    /// Known VMs with a live lease.
    Members,
    /// Engines owned by this controller.
    Owned,
    /// Load and unload orders sent to engines.
    Orders,
    /// One while the store replies, else zero.
    StoreUp,
}

impl Gauge {
    const ALL: [Self; 8] = [
        Self::Revision,
        Self::GatewayRevision,
        Self::FreshMs,
        Self::Epoch,
        Self::Members,
        Self::Owned,
        Self::Orders,
        Self::StoreUp,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::Revision => "jasmine_config_revision",
            Self::GatewayRevision => "jasmine_gateway_config_revision",
            Self::FreshMs => "jasmine_config_fresh_milliseconds",
            Self::Epoch => "jasmine_rights_epoch",
            Self::Members => "jasmine_members",
            Self::Owned => "jasmine_owned_engines",
            Self::Orders => "jasmine_orders",
            Self::StoreUp => "jasmine_store_up",
        }
    }

    const fn description(self) -> &'static str {
        match self {
            Self::Revision => "Revision of the configuration in force here",
            Self::GatewayRevision => "Revision in force at the gateway of this VM",
            Self::FreshMs => "Time since the store confirmed what is in force",
            Self::Epoch => "Epoch of rights that this controller is in",
            Self::Members => "VMs with a live lease, as far as is known here",
            Self::Owned => "Engines owned by this controller",
            Self::Orders => "Orders sent to engines since the start",
            Self::StoreUp => "1 while the key-value service answers, else 0",
        }
    }
}

impl Gauges {
    /// Sets the value of a gauge.
    pub fn set(
        &self,
        gauge: Gauge,
        value: u64,
    ) {
        self.values[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Registers all gauges with a meter.
    pub fn register(
        &self,
        meter: &Meter,
    ) {
        for gauge in Gauge::ALL {
            let values = Arc::clone(&self.values);
            meter
                .u64_observable_gauge(gauge.name())
                .with_description(gauge.description())
                .with_callback(move |observer| {
                    observer.observe(values[gauge as usize].load(Ordering::Relaxed), &[]);
                })
                .build();
        }
    }
}
