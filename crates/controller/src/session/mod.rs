//! This controller's lease in the platform's key-value store.

mod lease_session;
mod lease_validity;

pub use {
    lease_session::{LeaseSession, RENEWALS_PER_TTL},
    lease_validity::LeaseValidity,
};
