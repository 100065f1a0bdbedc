//! A fake service upstream that accepts any call and records it.

mod plain_service;

pub use plain_service::{ServedCall, ServiceFaults, start};
