//! Forwards requests to upstreams: the I/O around the state machine of [`jasmine_core::forward`].

mod context;
mod driver;
mod errors;
mod forward_result;
mod outbound;
mod response_sender;
mod upstream_exchange;
mod upstream_response;

pub use {
    context::ForwardContext,
    driver::Driver,
    errors::error_body,
    forward_result::ForwardResult,
    outbound::{Outbound, ServiceRequest},
    response_sender::{Answer, BufferedAnswer, ResponseSender},
};
