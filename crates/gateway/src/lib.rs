//! The gateway daemon: authenticates, admits, queues, routes and forwards the requests of callers.

pub mod clock;
pub mod coordinator;
pub mod daemon;
pub mod forward;
pub mod http;
pub mod request;
pub mod sse;
pub mod status;
pub mod upstream;
