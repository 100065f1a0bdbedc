//! Callers' connections: reading requests and writing responses.

mod answer_watch;
mod connection;
mod error_response;
mod listener;
mod read_request;
mod response_writer;

pub use {
    error_response::ErrorResponse,
    listener::{accept_loop, bind, serve_callers, serve_readiness, serve_relays},
    read_request::IncomingRequest,
    response_writer::ResponseWriter,
};
