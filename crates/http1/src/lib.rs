//! HTTP/1.1 parsing and framing: what a message must be, for all readers of requests and answers.
//!
//! Ambiguous messages are rejected to prevent request smuggling: both sides must agree on where a message ends. Lines
//! are parsed by `httparse`; framing and further checks are done here. [`parse_response_head`] says which heads are
//! answers: the entry daemon reads by it, and [`CheckedIo`] applies it to what `awc` reads, which accepts more.

mod body_reader;
mod checked_io;
mod chunked;
mod connector;
mod error;
mod framing;
mod head_scanner;
mod header;
mod request_head;
mod response_check;
mod response_head;
mod response_head_reader;
mod status;

pub use {
    body_reader::{BodyPart, BodyReader},
    checked_io::CheckedIo,
    chunked::ChunkedDecoder,
    connector::{CheckedStream, checked_connector},
    error::HttpError,
    framing::Framing,
    head_scanner::HeadScanner,
    header::{Header, Headers},
    request_head::{RequestHead, parse_request_head},
    response_check::ResponseCheck,
    response_head::{ResponseHead, parse_response_head},
    response_head_reader::{MAX_INTERIM_RESPONSES, ResponseHeadReader},
    status::{Status, StatusClass},
};
