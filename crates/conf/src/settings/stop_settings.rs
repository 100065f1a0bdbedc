use {
    super::{InvalidSetting, range::check_range},
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
};

/// Settings of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StopSettings {
    /// How long readiness is false before new requests are refused, so the load balancer can react.
    pub grace_ms: Millis,
    /// The maximum time from the signal until the process exits.
    pub deadline_ms: Millis,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            grace_ms: Millis(2_000),
            deadline_ms: Millis(30_000),
        }
    }
}

impl StopSettings {
    /// Checks that all values are in range.
    pub(super) fn validate(&self) -> Result<(), InvalidSetting> {
        check_range("stop.deadline_ms", self.deadline_ms.0, &(1..=3_600_000))?;
        check_range("stop.grace_ms", self.grace_ms.0, &(0..=self.deadline_ms.0))
    }
}
