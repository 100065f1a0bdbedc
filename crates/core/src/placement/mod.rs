//! Adapter placement: instance names and the preferred engines of each adapter.

mod engine_slot;
mod instance;
mod preferred;

pub use {
    engine_slot::EngineSlot,
    instance::Instance,
    preferred::{preferred, rendezvous, rendezvous_hash},
};
