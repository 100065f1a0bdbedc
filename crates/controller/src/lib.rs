//! The controller of one VM: configuration, membership, ownership of engines and placement.

pub mod claims;
pub mod cli;
pub mod clock;
pub mod config;
pub mod daemon;
pub mod engines;
pub mod epochs;
pub mod fleet;
pub mod follow;
pub mod operators;
pub mod ownership;
pub mod peers;
pub mod rights;
pub mod session;
pub mod shared;
pub mod status;
pub mod store_keys;
