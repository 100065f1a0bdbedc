//! A small fleet of ledgers and epoch state machines with a fake store and fake links.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses only some of the helpers"
)]

mod checks;
mod configuration;
mod daemon;
mod event;
mod fleet;
mod lifecycle;
mod messages;
mod reference;
mod script;
mod store;

pub use {
    event::{Event, MessageFate, VMS},
    fleet::Fleet,
    script::run_scripts,
};
