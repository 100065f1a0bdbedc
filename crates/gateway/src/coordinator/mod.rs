//! The gateway's coordinator: rate rights, queue, routing and configuration, on one thread.
//!
//! Rights are shares of an account's rate limit; a gateway that has some is a holder. The VM whose controller
//! decides which adapters an engine loads is that engine's owner.
//!
//! Each of these is a single state machine that must see all requests, and the RPC links to other daemons
//! are bound to one thread. The HTTP workers send messages to this thread: one to have a request admitted
//! and routed, one when it has ended.

mod active_request;
mod actor;
mod admission;
mod config_freshness;
mod configuration;
mod core;
mod dispatch;
mod effect;
mod handle;
mod links;
mod members;
mod messages;
mod peer_server;
mod polls;
mod rights_availability;
mod state;
mod wire_types;

pub use {
    active_request::{ActiveRequest, Stage},
    actor::{Coordinator, ReleaseRights},
    config_freshness::ConfigFreshness,
    configuration::{ConfigResponse, FleetResponse},
    core::Core,
    effect::Effect,
    handle::{CoordinatorHandle, RequestGuard},
    links::{Links, UpstreamsResponse},
    members::{Member, Members},
    messages::{
        AdmissionRequest, AttemptOutcome, ClaimRequest, ClaimResult, Finished, RerouteRequest,
        Routed, WorkerMessage,
    },
    peer_server::PeerServer,
    rights_availability::RightsAvailability,
    state::State,
};
