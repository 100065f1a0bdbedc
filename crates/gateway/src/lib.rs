//! The callers' daemon: authenticates, admits, queues, routes, forwards and streams back.

pub mod brain;
pub mod clock;
pub mod daemon;
pub mod forward;
pub mod http;
pub mod request;
pub mod sse;
pub mod status;
pub mod upstream;
