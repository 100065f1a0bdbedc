//! One request on its way: route, key, upstream, answer.

mod attempt;
mod driver;
mod encode;
mod events;
mod relay;
mod request;
mod serve;

use jasmine_core::clock::Millis;

/// When a caller may come back whom this VM can't serve any more: at once, as it then reaches another one.
const ELSEWHERE: Millis = Millis(20);

pub use {
    events::{Event, EventSplitter},
    request::ForwardRequest,
    serve::serve_request,
};
