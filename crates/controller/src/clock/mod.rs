//! Monotonic clock and change notification between tasks.

mod own_clock;
mod signal;

pub use {
    own_clock::{OwnClock, unix_millis},
    signal::Signal,
};
