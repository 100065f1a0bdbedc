//! How a daemon starts: its command line and what it asks for.

mod command;
mod start_kind;

pub use {
    command::{daemon_command, start_of},
    start_kind::Start,
};
