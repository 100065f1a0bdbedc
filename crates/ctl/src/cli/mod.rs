//! The command line: what can be typed, and what it means.

mod app;
mod args;
mod edit_commands;
mod read_commands;

pub(crate) use args::{path_arg, required, settings_arg};
pub use {
    app::app,
    args::{EditArgs, GlobalArgs, OutputForm},
};
