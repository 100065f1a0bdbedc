use crate::queue::Urgency;

/// The least urgent priority of accounts and routes.
const LEAST_URGENT: u8 = 9;

/// A class of requests of one service; the first in order is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueClass {
    /// Requests whose callers have a part of the answer already.
    Begun,
    /// Other requests, by their urgency.
    Ranked(Urgency),
}

impl QueueClass {
    /// The class of a request; priorities beyond the least urgent one count as that, which bounds
    /// the number of classes.
    pub fn of(
        urgency: Urgency,
        has_begun: bool,
    ) -> Self {
        if has_begun {
            return Self::Begun;
        }
        Self::Ranked(Urgency {
            priority: urgency.priority.min(LEAST_URGENT),
            route_priority: urgency.route_priority.min(LEAST_URGENT),
        })
    }

    /// The priority by which metrics and logs name the class.
    pub const fn priority(self) -> u8 {
        match self {
            Self::Begun => 0,
            Self::Ranked(urgency) => urgency.priority,
        }
    }
}
