//! Adapter placement: instance names and the preferred engines of each adapter.

mod engine_candidate;
mod instance;
mod preferred;

pub use {
    engine_candidate::EngineCandidate,
    instance::Instance,
    preferred::{preferred, rendezvous_hash, rendezvous_score},
};
