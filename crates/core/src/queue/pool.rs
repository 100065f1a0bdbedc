use {
    super::{Priority, Target, service_rate::ServiceRate},
    crate::ids::ServiceId,
};

/// Targets that are served by the same upstreams, as far as the queue can tell.
///
/// A status read of a plain service must not be refused because the model engines are slow, so
/// rates and backlogs are kept apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Pool {
    /// The model engines.
    Engines,
    /// The servers of one plain service.
    Service(ServiceId),
}

impl Pool {
    /// The pool of a target.
    pub const fn of(target: Target) -> Self {
        match target {
            Target::Adapter(_) | Target::Base(_) => Self::Engines,
            Target::Service(service) => Self::Service(service),
        }
    }
}

/// What is known of one pool over all accounts.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolState {
    /// How fast it is served.
    pub rate: ServiceRate,
    /// Sum of the weights of the accounts that wait in it.
    pub active_weight: u64,
    /// Requests that wait in it.
    pub waiting: usize,
}

/// What one account has waiting in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Requests.
    pub len: usize,
    /// Their cost, by class.
    by_class: [u64; 3],
}

impl Backlog {
    /// Adds a request.
    pub const fn add(
        &mut self,
        priority: Priority,
        cost: u64,
    ) {
        self.len += 1;
        self.by_class[priority as usize] += cost;
    }

    /// Takes a request out.
    pub const fn take(
        &mut self,
        priority: Priority,
        cost: u64,
    ) {
        self.len -= 1;
        self.by_class[priority as usize] -= cost;
    }

    /// Cost that is served before a new request of a class, but for what of lower classes has
    /// waited longer than its patience.
    pub fn cost_before(
        &self,
        priority: Priority,
    ) -> u64 {
        self.by_class[..=priority as usize].iter().sum()
    }

    /// All of its cost.
    pub fn cost(&self) -> u64 {
        self.by_class.iter().sum()
    }
}
