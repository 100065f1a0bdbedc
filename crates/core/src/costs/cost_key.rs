use crate::ids::{AccountId, AdapterId, RouteId, ServiceId};

/// What the cost of a request depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CostKey {
    /// Service of the request.
    pub service: ServiceId,
    /// The route by which it came; `None` if unknown, or for all routes.
    pub route: Option<RouteId>,
    /// Its account; `None` if it has none, or for all accounts.
    pub account: Option<AccountId>,
    /// The adapter that it uses; `None` if it uses none, or for all adapters.
    pub adapter: Option<AdapterId>,
}

impl CostKey {
    /// The key of a service as a whole.
    pub const fn of_service(service: ServiceId) -> Self {
        Self {
            service,
            route: None,
            account: None,
            adapter: None,
        }
    }

    /// The keys whose ratios make up the cost of a request: its route, its account on that route, and
    /// its adapter on all routes; `None` where the request has none.
    pub(super) fn levels(&self) -> [Option<Self>; 3] {
        let service = Self::of_service(self.service);
        [
            self.route.map(|_| Self {
                route: self.route,
                ..service
            }),
            self.account.map(|_| Self {
                route: self.route,
                account: self.account,
                ..service
            }),
            self.adapter.map(|_| Self {
                adapter: self.adapter,
                ..service
            }),
        ]
    }

    /// Whether it is the key of a service or one of [`Self::levels`].
    pub(super) const fn is_level(&self) -> bool {
        self.adapter.is_none() || self.route.is_none() && self.account.is_none()
    }

    /// Whether it is the key of a service as a whole.
    pub(super) const fn is_service(&self) -> bool {
        self.route.is_none() && self.account.is_none() && self.adapter.is_none()
    }
}
