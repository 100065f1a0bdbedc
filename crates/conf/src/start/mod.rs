//! How a daemon starts: its command line and what it asks for.

mod command;
mod daemon_main;
mod start_kind;

pub use {
    command::{daemon_command, start_of},
    daemon_main::daemon_main,
    start_kind::Start,
};
