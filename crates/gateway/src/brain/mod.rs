//! The daemon's decisions, on a thread of their own.
//!
//! Rights, queue, routing and configuration each belong to one machine that sees all requests, and the
//! connections to other daemons can't leave their thread either. So they live together, and the workers
//! that speak HTTP ask by message: one for admission and route, one at the end.

mod handle;
mod messages;

pub use {
    handle::{BrainHandle, Lease},
    messages::{
        Admission, BrainMessage, ClaimAnswer, ClaimRequest, Finished, Outcome, RouteAgain, Routed,
    },
};
