//! The daemon as a process: command line, start, stop.

mod command;
mod run;
mod stop;

pub use {
    command::{Start, command, start_of},
    run::{DaemonError, run},
};
