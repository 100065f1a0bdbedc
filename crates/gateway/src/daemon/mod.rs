//! Startup and shutdown of the daemon.

mod command;
mod run;
mod stop;

pub use {
    command::command,
    run::{DaemonError, run},
};
