//! Forwarding a request: the worker's side of [`jasmine_core::forward`].

mod caller;
mod context;
mod driver;
mod ending;
mod errors;
mod outbound;
mod reading;
mod upstream_side;

pub use {
    caller::{Answer, Caller, WholeAnswer},
    context::ForwardContext,
    driver::Driver,
    ending::Ending,
    errors::error_body,
    outbound::{Outbound, ServiceRequest},
};
