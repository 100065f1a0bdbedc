use {
    super::Activation,
    serde::{Deserialize, Serialize},
};

/// When the parts that answer hard load take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HardLoadSettings {
    /// Whether callers contend for capacity: parts that are [`Activation::Auto`] take effect for all services.
    pub contended: bool,
    /// Speeds of upstreams by their load reports and by measurement.
    pub load_reports: Activation,
    /// Estimates of what a request costs.
    pub cost_estimates: Activation,
    /// Placement by the expected finish of requests.
    pub expected_finish: Activation,
    /// Queueing and refusals by urgency.
    pub shedding: Activation,
    /// A return time of its own for each refused caller.
    pub return_times: Activation,
    /// Adapter copies ahead of demand.
    pub adapter_copies: Activation,
}

impl HardLoadSettings {
    /// Whether a part takes effect for a service whose upstreams report their pace or not.
    pub const fn is_active(
        self,
        part: Activation,
        reports_pace: bool,
    ) -> bool {
        match part {
            Activation::Off => false,
            Activation::Auto => self.contended || reports_pace,
            Activation::On => true,
        }
    }
}
