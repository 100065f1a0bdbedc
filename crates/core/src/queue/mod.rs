//! The fair queue: chooses which waiting request of which client account runs next.
//!
//! Weighted fair queueing over accounts: an account's virtual counter grows by the cost of its
//! served requests divided by its weight, and the account with the lowest counter is served next.
//! An account that exceeds its share only delays its own requests.
//!
//! Within an account, a request's priority class adds a fixed delay to its arrival time. A request
//! is thus never overtaken by one that arrives later than that delay, which prevents starvation.
//!
//! Queues are bounded, and a request that can't start before its deadline at the observed service
//! rate is refused on arrival.

mod account_queue;
mod estimate;
mod fair_queue;
mod pool;
mod priority;
mod queued_request;
mod service_rate;
mod settings;
mod urgency;

pub use {
    fair_queue::FairQueue,
    pool::Pools,
    priority::Priority,
    queued_request::{Enqueued, QueueTarget, QueuedRequest},
    settings::{AccountShare, QueueSettings},
    urgency::Urgency,
};
