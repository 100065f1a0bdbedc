//! Forwarding of requests: routing, authentication, attempts at upstreams, relaying of responses.

mod answer_room;
mod attempt;
mod body_reading;
mod driver;
mod encode;
mod events;
mod failure;
mod fingerprint;
mod hedge;
mod in_flight;
mod patience;
mod piece;
mod progress;
mod race;
mod read_ahead;
mod refused_request;
mod request;
mod response_trace;
mod routing;
mod serve;
mod stream_reader;

use jasmine_core::clock::Millis;

/// `Retry-After` of a stopping VM: short, as the retry reaches another VM.
pub(crate) const STOPPING_RETRY_DELAY: Millis = Millis(20);

pub use {
    events::{Event, EventSplitter},
    refused_request::RefusedRequest,
    request::ForwardRequest,
    serve::serve_request,
};
