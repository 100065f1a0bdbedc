//! RPC connections between daemons: timeouts, heartbeats, reconnection with backoff, and the server side.

mod backoff;
mod idle_reader;
mod link_error;
mod link_options;
mod message_limits;
mod peer_link;
mod ping;
mod serve;
mod vat_network;

pub use {
    backoff::Backoff,
    link_error::LinkError,
    link_options::LinkOptions,
    peer_link::Link,
    ping::Ping,
    serve::{serve, serve_with},
    vat_network::vat_network,
};
