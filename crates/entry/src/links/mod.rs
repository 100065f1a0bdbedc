//! Links to the upstreams: tests of this VM's own, and requests that VMs send for each other when one has lost them.

mod link_monitor;
mod links_lost;
mod probe;
mod relay_address;
mod relay_header;
mod relay_server;

pub use {
    link_monitor::{LinkMonitor, monitor_links},
    links_lost::LinksLost,
    relay_address::RelayAddress,
    relay_header::{
        NotRelayed, RelayTarget, is_broken_answer, read_not_relayed, take_relayed_mark,
    },
    relay_server::serve_relayed,
};
