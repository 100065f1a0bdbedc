//! Stand-ins for what lies outside the system, a fault-injecting proxy and the means to run the
//! daemons as real processes: for tests, the demo and the load driver, never part of the product.

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

pub use server::Running;
