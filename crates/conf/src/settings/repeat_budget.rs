use {
    super::{Problem, range::all_between},
    serde::{Deserialize, Serialize},
};

/// How often requests of one service may be sent to a further upstream, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RepeatBudget {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides, in one window.
    pub slack: f64,
    /// The window, in seconds.
    pub window_s: f64,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            slack: 10.0,
            window_s: 10.0,
        }
    }
}

impl RepeatBudget {
    /// Refuses values out of range.
    pub(super) fn check(&self) -> Result<(), Problem> {
        all_between(&[
            ("repeats.ratio", self.ratio, 0.0, 10.0),
            ("repeats.slack", self.slack, 0.0, 1e6),
            ("repeats.window_s", self.window_s, 0.1, 3_600.0),
        ])
    }
}
