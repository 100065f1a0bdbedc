//! What this VM's processor time is spent on, how late its tasks run, and how old what waits for them is.

mod ask_counts;
mod load_gauges;
mod load_log;
mod metered;
mod work_meter;
mod work_part;

pub use {
    ask_counts::{AskCounts, AskEnd},
    load_gauges::LoadGauges,
    load_log::log_load,
    metered::metered,
    work_meter::{WorkGuard, WorkMeter},
    work_part::WorkPart,
};
