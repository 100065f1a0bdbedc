//! HTTP/1.1 as bytes: heads, bodies and their framing, on both sides of the daemon.
//!
//! The daemon passes on what it reads, so it must never see a message end where the other side sees it go on.
//! A library that corrects what it reads can't promise that: here whatever is ambiguous is an error. The
//! parsing of lines is the library's; what is refused, and where a body ends, is decided here.

mod answer_head;
mod body_reader;
mod chunked;
mod error;
mod framing;
mod header;
mod request_head;

pub use {
    answer_head::{AnswerHead, parse_answer_head},
    body_reader::{BodyPart, BodyReader},
    chunked::ChunkedDecoder,
    error::HttpError,
    framing::Framing,
    header::{Header, Headers},
    request_head::{RequestHead, parse_request_head},
};
