//! Callers' connections: reading requests and writing responses.

mod answer_watch;
mod connection;
mod error_response;
mod listener;
mod peer;
mod read_request;
mod request_limits;
mod response_writer;

pub use {
    error_response::ErrorResponse,
    listener::{accept_loop, bind, serve_callers, serve_readiness, serve_relays},
    read_request::IncomingRequest,
    response_writer::ResponseWriter,
};
