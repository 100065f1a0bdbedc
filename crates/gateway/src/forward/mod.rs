//! Forwarding a request: the worker's side of [`jasmine_core::forward`].

mod caller;
mod driver;
mod errors;
mod outbound;
mod reading;

pub use {
    caller::{Answer, Caller, WholeAnswer},
    driver::{Driver, ForwardContext},
    errors::error_body,
    outbound::{Outbound, ServiceRequest},
};
