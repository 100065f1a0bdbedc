//! Test support: stand-ins for external systems, a fault-injecting proxy and a process harness.
//!
//! Used by tests, the demo and the load generator; not part of the product.

pub mod client;
pub mod decisions;
pub mod engine;
pub mod harness;
pub mod load;
pub mod platform;
pub mod proxy;
mod server;
pub mod service;
pub mod weights;

pub use server::RunningServer;
