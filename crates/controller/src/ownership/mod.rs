//! The engines that this controller owns: decisions by the owner's machine, orders by HTTP.

mod assignment;
mod engine_state;
mod orders;
mod outage_lease;
mod owner_desk;

pub use {
    assignment::Assignment,
    engine_state::{EngineState, EngineTarget, News},
    outage_lease::OutageLease,
    owner_desk::OwnerDesk,
};
