//! Callers' connections: reading requests and writing answers.

mod answer_writer;
mod connection;
mod listener;
mod read_request;
mod refusal;

pub use {
    answer_writer::AnswerWriter,
    listener::{accept_each, bind, serve_callers, serve_readiness},
    read_request::IncomingRequest,
    refusal::OwnAnswer,
};
