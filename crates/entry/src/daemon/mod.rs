//! The daemon process: command line, startup and planned stop.

mod command;
mod run;
mod stop;

pub use {
    command::command,
    run::{DaemonError, run},
};
