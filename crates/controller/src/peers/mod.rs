//! RPC between controllers and gateways.

mod fleet_message;
mod peer_links;
mod peer_server;
mod upstreams_message;

pub use {
    fleet_message::{read_members, read_owners, write_fleet},
    peer_links::{ConfigAnswer, FleetAnswer, PeerLinks, PeerStatus},
    peer_server::PeerServer,
    upstreams_message::write_upstreams,
};
