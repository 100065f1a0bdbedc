//! Simulation of the scheduling decisions on a virtual clock.
//!
//! Engines, the weight store and callers are simulated; the router, the owner state machine, the
//! fair queue and the rights ledger are the production code. The same seed gives the same results.

mod baseline;
mod caller;
mod engine;
mod fleet;
mod fleet_events;
mod metrics;
mod sim;
mod workload;

pub use {
    metrics::{RunMetrics, compare, table},
    sim::{Policy, run, total_slots},
    workload::{Scenario, Workload},
};
