//! The entry VMs' daemon on the users' platform.
//!
//! It takes callers' requests, finds their route and client account, asks the scheduler for an upstream,
//! passes the request on and the answer back. One of the daemons is the scheduler, elected through the store;
//! all of them are able to be. A daemon keeps nothing: what lasts is in the store.
//!
//! Everything runs on one thread: the VMs have a quarter of a core.

pub mod caller;
pub mod clock;
pub mod context;
pub mod daemon;
pub mod forward;
pub mod http1;
pub mod metrics;
pub mod scheduling;
pub mod store;
pub mod upstream;
