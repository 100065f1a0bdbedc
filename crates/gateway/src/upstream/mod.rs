//! Connections to upstreams.
//!
//! [`jasmine_http1::CheckedIo`] rejects what is no answer before `awc` reads it. Below it, [`UpstreamIo`] wraps the
//! sockets, as `awc` does not report two conditions:
//!
//! - `awc` treats a closed connection as the end of the body even if `content-length` bytes have not
//!   arrived. [`UpstreamIo`] turns the end of the byte stream into an error, so that truncated responses
//!   are detected.
//! - `awc` reports a connection closed before the response as a connect error, although the request may
//!   have been sent. [`UpstreamIo`] records the first written byte, so that only requests that were
//!   certainly not sent are reported as `not_run` or sent again.

mod client;
mod io;

pub use {
    client::{Connections, SendFailure, UpstreamResponse},
    io::{BytesWritten, UpstreamIo},
};
