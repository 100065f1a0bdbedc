//! Configuration of an entry VM: routes to services, client accounts with their keys, and upstreams.
//!
//! These are plain data types without I/O. They are filled from the platform's data and read by the
//! entry daemon and the scheduler.

mod account;
mod call_kind;
mod caller_limits;
mod config;
mod connection_admission;
mod final_answers;
mod held_model;
mod idle_timeouts;
mod prompt;
mod region_limits;
mod route;
mod route_table;
mod service_spec;
mod upstream_entry;

pub use {
    account::{AccountSpec, RateUnit},
    call_kind::CallKind,
    caller_limits::CallerLimits,
    config::IngressConfig,
    connection_admission::ConnectionAdmission,
    final_answers::{FinalAnswers, Finality},
    held_model::{ComingAdapter, EngineHoldings, HeldAdapter, HeldModel},
    idle_timeouts::IdleTimeouts,
    prompt::{PromptPart, PromptSize, shared_parts},
    region_limits::allowed_data_centres,
    route::{IngressRoute, WeightedService},
    route_table::RouteTable,
    service_spec::{ColdStart, EngineSpec, ModelSpec, ServiceSpec},
    upstream_entry::{UpstreamEntry, UpstreamState},
};
