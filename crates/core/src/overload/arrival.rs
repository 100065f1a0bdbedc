use {
    super::QueueClass,
    crate::{clock::Millis, ids::AccountId},
};

/// A request that has just arrived, as far as its admission depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its class.
    pub class: QueueClass,
    /// Its account.
    pub account: AccountId,
    /// Its work, in the unit of the service's capacity.
    pub work: f64,
    /// Capacity per millisecond that is promised to others of classes as urgent or more.
    pub kept: f64,
    /// How long it may wait and still be on time.
    pub on_time_left: Millis,
    /// How long it may wait and still be served.
    pub time_left: Millis,
}
