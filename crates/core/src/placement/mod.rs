//! Where adapters live: names of loaded instances and the engines each adapter prefers.

mod engine_slot;
mod instance;
mod preferred;

pub use {
    engine_slot::EngineSlot,
    instance::Instance,
    preferred::{preferred, rendezvous, rendezvous_hash},
};
