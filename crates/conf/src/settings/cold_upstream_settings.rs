use {
    super::{InvalidSetting, range::check_float_ranges},
    serde::{Deserialize, Serialize},
};

/// How many requests a cold upstream may get beyond its service's rate, over all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdUpstreamSettings {
    /// Factor on the rate that the service states.
    pub over: f64,
    /// Additional requests in any second.
    pub slack: f64,
}

impl Default for ColdUpstreamSettings {
    fn default() -> Self {
        Self {
            over: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdUpstreamSettings {
    /// Checks that all values are in range.
    pub(super) fn validate(&self) -> Result<(), InvalidSetting> {
        check_float_ranges(&[
            ("cold_upstreams.over", self.over, 0.0, 100.0),
            ("cold_upstreams.slack", self.slack, 0.0, 1e6),
        ])
    }
}
