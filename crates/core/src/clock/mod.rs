//! Time in milliseconds, as passed to the state machines.

mod millis;

pub use millis::Millis;
