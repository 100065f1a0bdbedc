//! Assigns requests to upstreams, on the leading VM or locally while no leader is reachable.

mod ask_shares;
mod assignment;
mod client;
mod convert;
mod copies;
mod cost_spec;
mod costs;
mod facts;
mod handover;
mod job_spec;
mod leader;
mod line_limit;
mod load_reports;
mod local_scheduler;
mod name_interner;
mod orders;
mod placement;
mod placement_error;
mod quarantine;
mod quarantine_log;
mod retry_log;
mod server;
mod shed_log;
mod stored_evidence;
mod told_returns;
mod versions;
mod vm_history;

pub use {
    ask_shares::{AskShareSpec, ToldShareSpecs},
    assignment::Assignment,
    client::{LINK_OPTIONS, SchedulerNode},
    cost_spec::CostSpec,
    handover::Handover,
    job_spec::{GenerationSpec, JobSpec, NewestSpec, RunningSpec},
    leader::Leader,
    local_scheduler::{LocalScheduler, ProbeTarget, Verdict},
    name_interner::NameInterner,
    orders::{OrderContext, run_engine_tasks},
    placement::Placement,
    placement_error::PlacementError,
    server::SchedulerServer,
    vm_history::{CrashSpec, EvidenceSpec, PromiseSpec, StatedSpec, VmHistory},
};
