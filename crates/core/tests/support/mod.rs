//! A small fleet of ledgers and epoch machines over a fake store and fake links.

mod daemon;
mod event;
mod fleet;
mod reference;
mod store;

pub use {
    event::{Event, Link, VMS},
    fleet::Fleet,
};
