//! Engine ownership: claims in the store, the ownership state machine and orders over HTTP.

mod assignment;
mod engine_owner;
mod engine_state;
mod orders;
mod outage_lease_extension;

pub use {
    assignment::Assignment,
    engine_owner::EngineOwner,
    engine_state::{EngineState, EngineTarget, ReportChange},
    outage_lease_extension::OutageLeaseExtension,
};
