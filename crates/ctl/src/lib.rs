//! `jasminectl`, the operators' command line.
//!
//! It holds no state: every command is one or a few calls of the operators' HTTP of any controller.

pub mod cli;
pub mod client;
mod commands;
mod error;
mod output;
mod queries;
mod run;
pub mod trace;

pub use {error::CtlError, run::run};
