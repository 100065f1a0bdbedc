//! Assigns requests to upstreams, on the leading VM or locally while no leader is reachable.

mod client;
mod convert;
mod desk;
mod facts;
mod handover;
mod job_spec;
mod leader;
mod name_interner;
mod orders;
mod placement;
mod server;
mod unplaced;

pub use {
    client::Scheduling,
    desk::{Desk, Verdict},
    handover::Handover,
    job_spec::{GenerationSpec, JobSpec, RunningSpec},
    leader::Leader,
    name_interner::NameInterner,
    orders::{OrderContext, carry_out},
    placement::Placement,
    server::SchedulerServer,
    unplaced::Unplaced,
};
