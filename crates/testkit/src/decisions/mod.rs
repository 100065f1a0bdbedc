//! The decision bench: loads at today's size against the decision code, on a virtual clock.
//!
//! Small fakes stand for engines, the weight store and callers; the router, the owners' machines,
//! the fair queue and the rights ledger are the ones that the daemons run. The same seed gives the
//! same figures.

mod baseline;
mod caller;
mod engine;
mod fleet;
mod fleet_events;
mod load;
mod measure;
mod sim;

pub use {
    load::{Load, Scenario},
    measure::{Figures, compare, table},
    sim::{Policy, all_slots, run},
};
