use {
    super::{InvalidSetting, range::check_float_ranges},
    serde::{Deserialize, Serialize},
};

/// The retry budget of one service over all VMs, for retries on another upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryBudgetSettings {
    /// Allowed retries per request.
    pub ratio: f64,
    /// Additional retries allowed in each window.
    pub slack: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window_s: 10.0,
        }
    }
}

impl RetryBudgetSettings {
    /// Checks that all values are in range.
    pub(super) fn validate(&self) -> Result<(), InvalidSetting> {
        check_float_ranges(&[
            ("repeats.ratio", self.ratio, 0.0, 10.0),
            ("repeats.slack", self.slack, 0.0, 1e6),
            ("repeats.window_s", self.window_s, 0.1, 3_600.0),
        ])
    }
}
