//! Links to the upstreams: tests of this VM's own, and requests that VMs send for each other when one has lost them.

mod link_monitor;
mod probe;
mod relay_header;
mod relay_server;

pub use {
    link_monitor::{LinkMonitor, LinksLost, RelayAddress, monitor_links},
    relay_header::{NotRelayed, add_target, read_not_relayed, take_relayed_mark},
    relay_server::serve_relayed,
};
