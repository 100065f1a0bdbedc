//! The callers' daemon: authenticates, admits, queues, routes, forwards and streams back.

pub mod request;
pub mod sse;
