use {super::Priority, crate::clock::Millis};

/// Bounds of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// Nothing waits longer than this, whatever its deadline.
    pub max_wait: Millis,
    /// Requests that may wait in all.
    pub max_queued: usize,
    /// How much later a request of normal priority may arrive and still not be overtaken by one
    /// of high priority.
    pub normal_patience: Millis,
    /// The same for low priority.
    pub low_patience: Millis,
    /// Whether requests are refused by the observed rate of service. Its user may know better: what waits for an
    /// adapter slows the observed rate although others would be served at once.
    pub judges_by_rate: bool,
}

impl QueueSettings {
    /// By how much the requests of a class count as having come later.
    pub const fn patience(
        &self,
        priority: Priority,
    ) -> Millis {
        match priority {
            Priority::High => Millis::ZERO,
            Priority::Normal => self.normal_patience,
            Priority::Low => self.low_patience,
        }
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_wait: Millis::from_secs(30),
            max_queued: 10_000,
            normal_patience: Millis(1000),
            low_patience: Millis(5000),
            judges_by_rate: true,
        }
    }
}

/// One client account's part of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountShare {
    /// Its weight against the other accounts, at least 1.
    pub weight: u32,
    /// Requests that may wait at a time.
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
