//! A small world around one forwarded request: engines, connections, a caller.

mod world;

pub use world::{Op, World};
