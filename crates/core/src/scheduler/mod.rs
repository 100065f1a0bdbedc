//! The scheduler: which upstream runs which request, which engine holds which adapter, and what is refused.
//!
//! One VM, elected through the store, decides for all of a deployment's entry VMs; each asks it before it
//! forwards a request and tells it what became of that. So every decision is made with the whole load
//! in view: an account's rate is one bucket, a batch of an engine is not filled twice, and an adapter
//! is evicted only when nothing that was sent runs on it. Each other VM has the same machine at hand with a share
//! of the rights and without orders to engines; it decides for itself while no scheduler answers.
//!
//! What makes requests wait on the heaviest days is, in this order: engines have few places for adapters,
//! an adapter takes a quarter of a second to load, and prompts are read at some twenty tokens a
//! millisecond. So a request goes where its first token is expected first, counting the prompts
//! ahead of it, the part of its own prompt that the engine still has, and the load that it would need.
//! Only as much is sent to an engine as keeps it busy; all else waits here, where it can still be ordered
//! by account and class, moved to another engine, or refused at once.
//!
//! Nothing in here does I/O: [`Scheduler`] takes events with the time and returns actions.

mod action;
mod backlog;
mod choose;
mod engine;
mod fleet;
mod fleet_totals;
mod health;
mod holders;
mod job;
mod load_pace;
mod loads;
mod machine;
mod outcome;
mod own_use;
mod place;
mod prefix_cache;
mod read_time;
mod repeat_budget;
mod report_line;
mod rights;
mod running;
mod settings;
mod upstream;
mod version_book;
mod wait_reason;
mod wait_times;

pub use {
    action::{Order, SchedulerAction},
    engine::EngineLimits,
    job::{Generation, Job, Ticket, Work},
    machine::Scheduler,
    outcome::{OrderEnd, Outcome, OwnDecision, Rest},
    rights::RightsShare,
    running::Adopted,
    settings::{LoadSettings, RepeatSettings, SchedulerSettings},
    upstream::{EngineFacts, UpstreamFacts},
    version_book::Announcement,
    wait_reason::WaitReason,
    wait_times::WaitTimes,
};
