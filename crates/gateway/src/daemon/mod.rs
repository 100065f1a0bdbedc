//! Starting and stopping the daemon.

mod command;
mod run;
mod stop;

pub use {
    command::command,
    run::{DaemonError, run},
};
