//! Forwarding of one request: attempts, stream resumption and the final outcome for the caller.
//!
//! An upstream may be unreachable, or its response may break off, stall, arrive twice or belong to
//! another request. The machine maps each failure to one of three outcomes: the complete response, an
//! explicit incomplete end, or an error that says correctly whether the request may have run.
//!
//! - A request that is not idempotent is sent again only if no byte of it was sent before. Otherwise
//!   the caller gets `outcome_unknown`.
//! - Every event names its attempt. Late events of an earlier attempt are dropped, so the response
//!   never mixes two attempts.
//! - A response is complete only if the upstream marked it so and the token count matches. A closed
//!   connection does not end a response.
//!
//! A partly delivered response can be resumed at the same engine after the last delivered token, but
//! the request is not run again: sampling would produce a different response.

mod action;
mod attempts;
mod event;
mod machine;
mod part;
mod plan;
mod progress;
mod recovery;
mod state;

pub use {
    action::{ForwardAction, RouteCause},
    attempts::{AttemptEnd, Attempts},
    event::{ForwardEvent, Head},
    machine::ForwardMachine,
    part::{Part, PartKind},
    plan::{Attempt, Delivery, ForwardPlan, Repeat},
};
