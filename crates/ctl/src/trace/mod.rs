//! Traces a request through the daemons' logs.
//!
//! Files are streamed twice and only matching lines are kept, so memory use does not grow with file size.
//! Lines that can't be parsed are counted and skipped.

mod log_line;
mod read;
mod request_trace;

pub use {log_line::LogLine, read::trace, request_trace::RequestTrace};
