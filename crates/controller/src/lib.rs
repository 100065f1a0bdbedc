//! controller.

pub mod operators;
