//! The daemon's decisions, on a thread of their own.
//!
//! Rights, queue, routing and configuration each belong to one machine that sees all requests, and the
//! connections to other daemons can't leave their thread either. So they live together, and the workers
//! that speak HTTP ask by message: one for admission and route, one at the end.

mod actor;
mod admission;
mod configuration;
mod core;
mod dispatch;
mod effect;
mod freshness;
mod handle;
mod links;
mod members;
mod messages;
mod peer_server;
mod polls;
mod running;
mod settling;
mod state;
mod wire_types;

pub use {
    actor::{Brain, Leave},
    configuration::{ConfigAnswer, FleetAnswer},
    core::Core,
    effect::Effect,
    freshness::Freshness,
    handle::{BrainHandle, Lease},
    links::{Links, UpstreamsAnswer},
    members::{Member, Members},
    messages::{
        Admission, BrainMessage, ClaimAnswer, ClaimRequest, Finished, Outcome, RouteAgain, Routed,
    },
    peer_server::PeerServer,
    running::{Running, Stage},
    settling::Settling,
    state::State,
};
