use {
    super::Priority,
    jasmine_core::{clock::Millis, ids::AccountId},
};

/// A client account with inherited values.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The id assigned at creation.
    pub id: AccountId,
    /// The name, unique over the fleet.
    pub name: String,
    /// Rate limit over the whole fleet, in tokens per second.
    pub rate: u64,
    /// Maximum burst over the whole fleet, in tokens.
    pub burst: u64,
    /// Weight in the fair queue, 1 to 1000.
    pub weight: u32,
    /// Maximum number of queued requests on one VM.
    pub max_queued: u32,
    /// Deadline of requests that do not specify one.
    pub deadline: Millis,
    /// Priority class of requests that do not specify one.
    pub priority: Priority,
}
