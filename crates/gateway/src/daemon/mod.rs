//! Starting and stopping the daemon.

mod command;
mod run;
mod stop;

pub use {
    command::{Start, command, start_of},
    run::{DaemonError, run},
};
