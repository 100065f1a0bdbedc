//! This process's own clock and signals between its tasks.

mod own_clock;
mod signal;

pub use {
    own_clock::{OwnClock, unix_millis},
    signal::Signal,
};
