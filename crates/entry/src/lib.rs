//! The daemon of the entry VMs: a reverse proxy with scheduling, on the users' platform.
//!
//! It accepts callers' requests, finds their route and client account, asks the scheduler for an upstream and
//! forwards request and response. One of the daemons is elected scheduler through the store. A daemon keeps no
//! persistent state of its own.
//!
//! Everything runs on one thread: the VMs have a quarter of a core.

pub mod caller;
pub mod clock;
pub mod context;
pub mod daemon;
pub mod exchange_bytes;
pub mod forward;
mod gauges;
pub mod links;
pub mod load;
pub mod metrics;
pub mod refusals;
pub mod scheduling;
pub mod store;
pub mod streams;
pub mod upstream;

pub use jasmine_http1 as http1;
