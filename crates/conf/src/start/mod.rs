//! Startup of a daemon: command line, settings, log and exit codes.

mod command;
mod daemon_main;
mod start_action;

pub use {
    command::{daemon_command, parse_start},
    daemon_main::daemon_main,
    start_action::StartAction,
};
