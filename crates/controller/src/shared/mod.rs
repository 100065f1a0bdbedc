//! What nearly every part of the controller needs.

mod parts;

pub use parts::SharedParts;
