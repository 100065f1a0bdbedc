//! `jasminectl`, the command line for operators.
//!
//! It is stateless: each command makes one or a few calls to the operator API of any controller.

pub mod cli;
pub mod client;
mod commands;
mod error;
mod output;
mod queries;
mod run;
pub mod trace;

pub use {error::CtlError, run::run};
