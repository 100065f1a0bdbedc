//! Forwarding of requests: routing, authentication, attempts at upstreams, relaying of responses.

mod attempt;
mod driver;
mod encode;
mod events;
mod relay;
mod request;
mod serve;
mod successor;

use jasmine_core::clock::Millis;

/// `Retry-After` of a stopping VM: short, as the retry reaches another VM.
const STOPPING_RETRY_DELAY: Millis = Millis(20);

pub use {
    events::{Event, EventSplitter},
    request::ForwardRequest,
    serve::serve_request,
};
