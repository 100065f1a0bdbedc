use {
    super::{Priority, QueueTarget, service_rate::ServiceRate},
    crate::ids::ServiceId,
};

/// A group of targets that share upstreams.
///
/// Service rates and backlogs are tracked per pool, so slow model engines don't cause requests to
/// plain services to be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pool {
    /// The model engines.
    Engines,
    /// The servers of one plain service.
    Service(ServiceId),
}

/// The pools whose requests a scan of the queue looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pools {
    /// The model engines.
    Engines,
    /// The servers of all plain services.
    Services,
    /// All of them.
    All,
}

impl Pools {
    /// Whether the engines are among them.
    pub const fn has_engines(self) -> bool {
        matches!(self, Self::Engines | Self::All)
    }

    /// Whether the plain services are among them.
    pub const fn has_services(self) -> bool {
        matches!(self, Self::Services | Self::All)
    }
}

impl Pool {
    /// Returns the pool of upstreams that can serve a target.
    pub const fn for_target(target: QueueTarget) -> Self {
        match target {
            QueueTarget::Adapter(_)
            | QueueTarget::Base(_)
            | QueueTarget::Trial { .. }
            | QueueTarget::RequestTrial { service: None, .. } => Self::Engines,
            QueueTarget::Service(service)
            | QueueTarget::RequestTrial {
                service: Some(service),
                ..
            } => Self::Service(service),
        }
    }
}

/// State of one pool over all accounts.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolState {
    /// Observed service rate.
    pub rate: ServiceRate,
    /// Sum of the weights of the accounts with waiting requests.
    pub active_weight: u64,
    /// Number of waiting requests.
    pub waiting: usize,
}

/// The waiting requests of one account in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Number of requests.
    pub len: usize,
    /// Cost in tokens, by priority class.
    cost_by_class: [u64; 3],
}

impl Backlog {
    /// Adds a request.
    pub const fn add(
        &mut self,
        priority: Priority,
        cost: u64,
    ) {
        self.len += 1;
        self.cost_by_class[priority as usize] += cost;
    }

    /// Removes a request.
    pub const fn remove(
        &mut self,
        priority: Priority,
        cost: u64,
    ) {
        self.len -= 1;
        self.cost_by_class[priority as usize] -= cost;
    }

    /// Cost queued at the same or higher priority, in tokens.
    ///
    /// Leaves out requests of lower priority, even if they are old enough to be served first.
    pub fn cost_before(
        &self,
        priority: Priority,
    ) -> u64 {
        self.cost_by_class[..=priority as usize].iter().sum()
    }

    /// Total cost in tokens.
    pub fn cost(&self) -> u64 {
        self.cost_by_class.iter().sum()
    }
}
