//! The fair queue: which waiting request of which client account runs next.
//!
//! Accounts are served by virtual token counters: an account's counter grows by the cost of what
//! it was served, divided by its weight, and the lowest counter goes first. An account that sends
//! several times its part waits in its own line and delays nobody else.
//!
//! Inside an account a request's class only moves it in time: it counts as if it had arrived
//! later by the patience of its class. So a request is never overtaken by one that arrives later than
//! that patience, whatever its class: that bounds how long low priority can starve.
//!
//! Nothing waits in vain: lines have a hard bound, and a request that by the observed rate of
//! service can't be served before its deadline is refused when it comes.
//!
//! Other ways that were weighed: one line in order of arrival lets an account that sends much delay all
//! others; deficit round robin serves by weight too, but an account with large requests waits several
//! rounds, and a cost that is known only at the end can't be corrected in a later round without a
//! counter; strict classes starve the low one.

mod account_line;
mod estimate;
mod fair_queue;
mod pool;
mod priority;
mod service_rate;
mod settings;
mod waiting;

pub use {
    fair_queue::FairQueue,
    priority::Priority,
    settings::{AccountShare, QueueSettings},
    waiting::{Queued, Target, Waiting},
};
