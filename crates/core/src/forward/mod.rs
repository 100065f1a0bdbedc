//! Forwarding one request: attempts, resumption, and what the caller may be told at the end.
//!
//! What can go wrong between two daemons is a short list: nothing can be sent, an answer breaks off,
//! goes silent, arrives twice or belongs to somebody else. The machine turns each of these into one of
//! three outcomes for the caller: the whole answer, an explicit incomplete end, or a refusal whose
//! `not_run` is true.
//!
//! Three rules carry that:
//!
//! - A request that may not be repeated is sent again only after proof that no byte of it left. Where
//!   the proof is missing the caller is told `outcome_unknown`.
//! - Every event carries the attempt that it belongs to. What arrives late from an earlier attempt is
//!   dropped, so two attempts can't mix in one answer.
//! - An answer is whole only after the upstream has said so and the count of tokens agrees. A closed
//!   connection is never an end.
//!
//! A request that has reached its caller in part can be resumed at the same engine and token, but not
//! run anew: sampling makes the second answer differ from the first, and the caller would get the head
//! of one and the tail of the other.

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
