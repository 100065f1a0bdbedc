//! Decisions of the serving layer as deterministic state machines.
//!
//! This crate does no I/O, reads no clock, writes no logs and has no global state. Each state
//! machine takes an event and the current [`clock::Millis`] and returns actions for its daemon to
//! execute, so scripts and property tests run the same code as production.

pub mod adapter_demand;
pub mod ask_shares;
pub mod byte_budget;
pub mod clock;
pub mod costs;
mod decaying_sum;
pub mod error;
pub mod feed;
pub mod forward;
mod id_map;
pub mod ids;
pub mod ingress;
pub mod leadership;
pub mod load_reports;
pub mod membership;
pub mod overload;
pub mod ownership;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod reachability;
pub mod return_times;
pub mod rights;
pub mod routing;
pub mod scheduler;
pub mod streams;

use id_map::IdMap;
