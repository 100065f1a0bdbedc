use crate::clock::Millis;

/// When the epoch changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// For how long a VM must be gone from the platform's list before that counts.
    pub list_lag: Millis,
    /// The least time between two epochs, so that changes that come together share one.
    pub settle: Millis,
    /// After how long without a change an epoch is opened all the same, to bring back rights that
    /// were lost in transfers.
    pub refresh: Millis,
    /// How much longer each controller waits than the one before it, so that they rarely race.
    pub stagger: Millis,
    /// Holders that a missing right is divided among.
    pub grantees: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            list_lag: Millis::from_secs(10),
            settle: Millis(500),
            refresh: Millis::from_secs(600),
            stagger: Millis(200),
            grantees: 8,
        }
    }
}
