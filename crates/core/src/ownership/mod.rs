//! Engine ownership: loading and unloading adapters, and granting and recalling their use.
//!
//! Each engine has one owner, a controller that holds a lease and a fencing token for it. Not every
//! engine checks the token, and an owner can be paused between deciding on an order and sending it.
//! Three rules therefore keep delayed orders from unloading an adapter that is in use:
//!
//! * A gateway routes to an instance only under a grant, and an instance is unloaded only after every
//!   gateway with a grant has released it.
//! * A gateway sends releases only to the owner with the highest fencing token it has seen, so a
//!   former owner can't collect all releases once gateways know its successor.
//! * A new owner keeps an instance of a former owner only if a gateway that has seen the new token
//!   still holds a grant for it, because then the former owner can't have collected all releases.
//!   The state of every other instance is uncertain, and its adapter is loaded again under a name
//!   that includes the new token.

mod account_waits;
mod action;
mod assign;
mod copy_updates;
mod engine_copy;
mod event;
mod eviction;
mod orders;
mod owned_engine;
mod owner_machine;
mod pending_load;
mod results;
mod settings;

pub use {
    action::{AcquireOutcome, OwnerAction},
    assign::{Candidate, assign},
    event::{
        AcquireRequest, LoadResult, OwnerEvent, Ownership, Poll, Release, Report, UnloadResult,
    },
    owner_machine::OwnerMachine,
    settings::OwnerSettings,
};
