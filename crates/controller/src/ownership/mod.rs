//! Engine ownership: claims in the store, the ownership state machine and orders over HTTP.

mod assignment;
mod engine_state;
mod orders;
mod outage_lease;
mod owner_desk;

pub use {
    assignment::Assignment,
    engine_state::{EngineState, EngineTarget, ReportChange},
    outage_lease::OutageLease,
    owner_desk::OwnerDesk,
};
