//! Connections to upstreams.
//!
//! `awc` alone can't tell two things that the promises rest on, so its sockets are wrapped:
//!
//! - It takes a closed connection for the end of an answer, also where the announced length has not
//!   arrived. A caller would get half an answer as if it were whole. [`UpstreamIo`] turns the end of the
//!   byte stream into an error, so that only the end that HTTP itself marks is one.
//! - Its error for "closed before an answer" is one of its connect errors, although the request has left by
//!   then. A call that may not be repeated would be reported as `not_run`, or sent again. [`UpstreamIo`]
//!   notes the first byte written, which is the only proof that is trusted.

mod client;
mod io;

pub use {
    client::{Connections, SendFailure, UpstreamResponse},
    io::{BytesWritten, UpstreamIo},
};
