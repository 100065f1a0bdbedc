use {
    super::Priority,
    jasmine_core::{clock::Millis, ids::AccountId},
};

/// A client account with its values after inheritance.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its number.
    pub id: AccountId,
    /// Its name in the tree, unique over the fleet.
    pub name: String,
    /// Tokens a second over the whole fleet.
    pub rate: u64,
    /// Tokens it may use at once after a rest, over the whole fleet.
    pub burst: u64,
    /// Its weight in the fair queue, 1 to 1000.
    pub weight: u32,
    /// Requests that may wait on one VM at a time.
    pub max_queued: u32,
    /// How long a request may take when the caller names no deadline.
    pub deadline: Millis,
    /// The priority class of its requests when the call names none.
    pub priority: Priority,
}
