//! Connections between daemons: connect with timeout, heartbeat, reconnect with backoff, and serving.

mod backoff;
mod idle_reader;
mod link_error;
mod link_options;
mod peer_link;
mod ping;
mod serve;

pub use {
    backoff::Backoff, link_error::LinkError, link_options::LinkOptions, peer_link::Link,
    ping::Ping, serve::serve,
};
