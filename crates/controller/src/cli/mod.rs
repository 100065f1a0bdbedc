//! The command line.

mod command;

pub use command::{CHECK_SETTINGS, SETTINGS, command};
