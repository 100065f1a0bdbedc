//! Time as the decisions see it: a number of milliseconds that is passed in.

mod millis;

pub use millis::Millis;
