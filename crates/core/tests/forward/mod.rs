//! Simulation of the engines, connections and caller of one forwarded request.

mod world;

pub use world::{Op, World};
