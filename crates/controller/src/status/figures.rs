use {
    opentelemetry::metrics::Meter,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Figures of the decisions' thread, readable from any thread.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    cells: Arc<[AtomicU64; Figure::ALL.len()]>,
}

/// One figure of the metrics page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Figure {
    /// The revision in force here.
    Revision,
    /// The revision in force at the gateway beside this controller.
    GatewayRevision,
    /// Milliseconds since the store confirmed what is in force.
    FreshMs,
    /// The epoch of rights.
    Epoch,
    /// VMs with a live lease, as far as is known here.
    Members,
    /// Engines owned.
    Owned,
    /// Orders sent to engines.
    Orders,
    /// Whether the store answers.
    StoreUp,
}

impl Figure {
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

impl Figures {
    /// Notes a figure.
    pub fn set(
        &self,
        figure: Figure,
        value: u64,
    ) {
        self.cells[figure as usize].store(value, Ordering::Relaxed);
    }

    /// Makes a gauge for each figure.
    pub fn register(
        &self,
        meter: &Meter,
    ) {
        for figure in Figure::ALL {
            let cells = Arc::clone(&self.cells);
            meter
                .u64_observable_gauge(figure.name())
                .with_description(figure.description())
                .with_callback(move |observer| {
                    observer.observe(cells[figure as usize].load(Ordering::Relaxed), &[]);
                })
                .build();
        }
    }
}
