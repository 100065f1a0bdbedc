//! The bytes that this VM holds for its exchanges.

mod byte_gate;
mod byte_hold;
mod byte_holds;

pub use {
    byte_gate::{ByteGate, Paused},
    byte_hold::ByteHold,
    byte_holds::ByteHolds,
};
