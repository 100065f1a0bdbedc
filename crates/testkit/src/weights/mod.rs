//! A fake, rate-limited store of adapter weights.

mod weight_store;

pub use weight_store::{WeightSettings, start};
