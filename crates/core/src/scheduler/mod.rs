//! The scheduler: assigns requests to upstreams and adapters to engines, and rejects excess load.
//!
//! One VM is elected through the store and decides for all VMs of a deployment. Each VM asks it
//! before forwarding a request and reports the outcome. Decisions therefore see the whole load: an
//! account's rate is one token bucket, and an adapter is evicted only when no request uses it.
//! Every VM also runs a standby with a share of the rate limits, which sends no orders to engines
//! and decides for its own requests while there is no scheduler.
//!
//! Time to first token is dominated by prefill, by the few adapter slots of an engine, and by
//! adapter loads. A request goes to the engine with the lowest expected time to first token, which
//! counts the prefill backlog, the prefix cache and any adapter load. Engines get only as many
//! requests as keep them busy. The rest waits in the scheduler's queue, where it can still be
//! ordered by account and priority, sent elsewhere, or rejected.
//!
//! The module does no I/O: [`Scheduler`] takes events with the current time and returns actions.

mod account_rates;
mod action;
mod activation;
mod admission_log;
mod admission_share;
mod announced_versions;
mod availability;
mod backlog;
mod brittleness;
mod call_times;
mod choose;
mod cold_admission;
mod copy_statistics;
mod departed;
mod engine;
mod evacuation;
mod evaluation_pace;
mod expected_cost;
mod fleet;
mod fleet_builds;
mod fleet_totals;
mod hard_load_settings;
mod health;
mod holders;
mod job;
mod known_run;
mod load_punctuality;
mod load_slowdown;
mod loads;
mod local_usage;
mod measured_pace;
mod members;
mod outcome;
mod outcome_records;
mod pace_summary;
mod paces;
mod planned_load;
mod prefill_estimator;
mod prefix_cache;
mod queued_adapters;
mod rate_history;
mod recent_builds;
mod report_ages;
mod report_queue;
mod request_limit;
mod request_load;
mod resident;
mod rests;
mod retry_backlog;
mod retry_budget;
mod retry_record;
mod running;
mod settings;
mod signals;
mod skipped_requests;
mod slot_turnover;
mod state_machine;
mod statements;
mod upstream;
mod usual_call_time;
mod wait_reason;
mod wait_times;
mod waiting_ages;

pub(crate) use admission_share::AdmissionPart;
pub use {
    account_rates::RateShare,
    action::{Order, SchedulerAction},
    activation::Activation,
    admission_share::AdmissionShare,
    announced_versions::{Announcement, NewestVersion},
    cold_admission::{COLD_WINDOW, ColdLimit},
    copy_statistics::CopyStatistics,
    engine::EngineLimits,
    evacuation::EvacuationTimes,
    hard_load_settings::HardLoadSettings,
    job::{AttemptId, Generation, Job, LOCAL_VM, VersionLimit, Work},
    outcome::{EnginesToPause, OrderResult, Outcome, RateDecision},
    pace_summary::{ImplausibleReports, PaceSummary},
    planned_load::PlannedLoad,
    rate_history::{RateHistory, SpentTokens},
    request_limit::LIMIT_WINDOW,
    retry_budget::{AttemptCounts, AttemptHistory, PastAttempts},
    retry_record::{RetryDecider, RetryRecord, RetryTotals},
    running::RunningRequest,
    settings::{LoadSettings, RetrySettings, SchedulerSettings},
    signals::{SignalChanges, StatedUpstream, UpstreamSignals},
    state_machine::Scheduler,
    upstream::{EngineStatus, UpstreamStatus},
    wait_reason::WaitReason,
    wait_times::WaitTimes,
    waiting_ages::WaitingAges,
};
