use {super::Priority, crate::clock::Millis};

/// Limits and priority delays of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Maximum wait of a request, even if its deadline is later.
    pub max_wait: Millis,
    /// Maximum number of waiting requests of all accounts.
    pub max_queued: usize,
    /// Delay added to the arrival time of a request of normal priority, for ordering.
    pub normal_delay: Millis,
    /// Delay added to the arrival time of a request of low priority, for ordering.
    pub low_delay: Millis,
    /// Whether to refuse requests that would miss their deadlines at the observed service rate.
    ///
    /// Disable it if adapter loads make the observed rate unreliable.
    pub refuses_by_estimate: bool,
}

impl QueueSettings {
    /// Delay added to the arrival time of a request, by its priority.
    pub const fn priority_delay(
        &self,
        priority: Priority,
    ) -> Millis {
        match priority {
            Priority::High => Millis::ZERO,
            Priority::Normal => self.normal_delay,
            Priority::Low => self.low_delay,
        }
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_wait: Millis::from_secs(30),
            max_queued: 10_000,
            normal_delay: Millis(1000),
            low_delay: Millis(5000),
            refuses_by_estimate: true,
        }
    }
}

/// One client account's weight and queue limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountShare {
    /// Weight relative to other accounts, at least 1.
    pub weight: u32,
    /// Maximum number of waiting requests of the account.
    pub max_queued: usize,
}

impl Default for AccountShare {
    fn default() -> Self {
        Self {
            weight: 1,
            max_queued: 1000,
        }
    }
}
