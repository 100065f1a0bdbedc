//! Definition and parsing of the command line.

mod app;
mod args;
mod edit_commands;
mod read_commands;

pub(crate) use args::{parse_path_arg, parse_settings_args, required};
pub use {
    app::app,
    args::{EditArgs, GlobalArgs, OutputFormat},
};
