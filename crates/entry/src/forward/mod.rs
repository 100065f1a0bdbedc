//! One request on its way: route, key, upstream, answer.

mod attempt;
mod driver;
mod encode;
mod events;
mod relay;
mod request;
mod serve;

pub use {
    events::{Event, EventSplitter},
    request::ForwardRequest,
    serve::serve_request,
};
