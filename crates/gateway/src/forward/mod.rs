//! Forwarding a request: the worker's side of [`jasmine_core::forward`].

mod caller;
mod driver;
mod errors;
mod outbound;
mod reading;

pub use {
    caller::{Answer, Caller, WholeAnswer},
    driver::{Driver, Ending, ForwardContext},
    errors::error_body,
    outbound::{Outbound, ServiceRequest},
};
