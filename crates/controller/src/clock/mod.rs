//! Monotonic clock and change notification between tasks.

mod change_notifier;
mod monotonic_clock;

pub use {
    change_notifier::ChangeNotifier,
    monotonic_clock::{MonotonicClock, unix_millis},
};
