//! Command line arguments.

mod command;

pub use command::{CHECK_SETTINGS, SETTINGS, command};
