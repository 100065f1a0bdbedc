//! Whether a VM reaches the upstreams by its own links, and which VMs send requests for it if not.

mod links;
mod relays;

pub use {
    links::{LinkStatus, ProbeResult, UpstreamLinks},
    relays::{RelayPeer, Relays},
};
