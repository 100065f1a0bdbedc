//! Calls of the operators' HTTP.

mod api;
mod attempt;

pub use api::Api;
