//! Decisions of the serving layer as deterministic state machines.
//!
//! Nothing in this crate opens a socket, reads a clock, logs or keeps global state. Each machine
//! takes an event and the current [`clock::Millis`] and returns actions for its daemon to carry
//! out, so that a script, a generated order of events or another driver can run the very code that
//! runs in production.

pub mod clock;
mod decayed;
pub mod error;
pub mod feed;
pub mod forward;
pub mod ids;
pub mod ingress;
pub mod membership;
pub mod ownership;
pub mod placement;
pub mod queue;
pub mod rights;
pub mod routing;
pub mod scheduler;
