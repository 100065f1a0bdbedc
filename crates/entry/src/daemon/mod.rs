//! The daemon as a process: command line, start, stop.

mod command;
mod run;
mod stop;

pub use {
    command::command,
    run::{DaemonError, run},
};
