use {
    super::{Problem, range::within},
    jasmine_core::clock::Millis,
    serde::{Deserialize, Serialize},
};

/// How a planned stop goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stop {
    /// How long readiness is false before new work is refused, so that the balancer notices first.
    pub grace_ms: Millis,
    /// When the process exits at the latest, counted from the signal.
    pub deadline_ms: Millis,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            grace_ms: Millis(2_000),
            deadline_ms: Millis(30_000),
        }
    }
}

impl Stop {
    /// Refuses values out of range.
    pub(super) fn check(&self) -> Result<(), Problem> {
        within("stop.deadline_ms", self.deadline_ms.0, &(1..=3_600_000))?;
        within("stop.grace_ms", self.grace_ms.0, &(0..=self.deadline_ms.0))
    }
}
