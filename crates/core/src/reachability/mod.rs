//! Whether a VM reaches the upstreams by its own links, and which VMs send requests for it if not.

mod link_status;
mod probe_result;
mod relay_peer;
mod relays;
mod upstream_links;

pub use {
    link_status::LinkStatus, probe_result::ProbeResult, relay_peer::RelayPeer, relays::Relays,
    upstream_links::UpstreamLinks,
};
