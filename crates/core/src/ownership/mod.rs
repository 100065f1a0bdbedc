//! Who gives orders to which engine, and which orders: loads, unloads, grants and recalls.
//!
//! Each engine has one owner, a controller that holds it under a lease and a fencing token. Not all
//! engines check the token, and an owner can be frozen between deciding on an order and sending it.
//! What keeps a late order from doing harm is therefore not the engine but three rules:
//!
//! * a gateway routes to an instance only under a grant, and an unload needs the word of every
//!   gateway that holds one;
//! * a gateway gives its word only to the highest fencing token it has seen, so that a former owner
//!   can't collect words once its successor has been heard of;
//! * a new owner goes on with an instance of a former owner only if a gateway that has seen the new
//!   token still holds a grant for it: then the former owner can't have had all words. Everything
//!   else is in doubt and loaded anew under a name with the new token.

mod account_waits;
mod action;
mod assign;
mod engine_copy;
mod event;
mod evidence;
mod orders;
mod owned_engine;
mod owner_machine;
mod results;
mod settings;
mod victim;
mod wanted;

pub use {
    action::{AcquireOutcome, OwnerAction},
    assign::{Candidate, assign},
    event::{Ask, LoadResult, OwnerEvent, Ownership, Poll, Release, Report, UnloadResult},
    owner_machine::OwnerMachine,
    settings::OwnerSettings,
};
