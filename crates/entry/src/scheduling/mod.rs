//! Who decides where a request goes: this VM's own machine, or the one that leads.

mod client;
mod convert;
mod desk;
mod facts;
mod handed_on;
mod job_spec;
mod leader;
mod names;
mod orders;
mod placement;
mod server;
mod unplaced;

pub use {
    client::Scheduling,
    desk::{Desk, Verdict},
    handed_on::HandedOn,
    job_spec::{GenerationSpec, JobSpec, RunningSpec},
    leader::Leader,
    names::Names,
    orders::{OrderContext, carry_out},
    placement::Placement,
    server::SchedulerServer,
    unplaced::Unplaced,
};
