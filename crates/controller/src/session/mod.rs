//! This controller's lease in the platform's key-value service.

mod lease_clock;
mod lease_session;

pub use {
    lease_clock::LeaseClock,
    lease_session::{LeaseSession, RENEWALS},
};
