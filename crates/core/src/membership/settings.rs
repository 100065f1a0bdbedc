use crate::clock::Millis;

/// Timing of epoch changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// How long a VM must be missing from the platform's list before it counts as gone.
    pub list_lag: Millis,
    /// Minimum time between two epochs, so that concurrent changes share one.
    pub min_epoch_interval: Millis,
    /// Time after which an epoch is opened without a membership change, to recover rights lost in
    /// transfers.
    pub max_epoch_interval: Millis,
    /// Extra delay of each controller over the one before it, so that they rarely race.
    pub stagger_delay: Millis,
    /// Maximum number of holders among which a missing right is divided.
    pub max_grantees: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            list_lag: Millis::from_secs(10),
            min_epoch_interval: Millis(500),
            max_epoch_interval: Millis::from_secs(600),
            stagger_delay: Millis(200),
            max_grantees: 8,
        }
    }
}
