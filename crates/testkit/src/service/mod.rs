//! Stands in for a server of a plain service: it takes any call and remembers each.

mod plain_service;

pub use plain_service::{ServedCall, ServiceFaults, start};
