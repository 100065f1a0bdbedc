//! Return times: each refused caller is told a time of its own to come back, at which capacity is
//! kept for it.

mod return_budget;
mod return_counts;
mod return_promise;
mod return_request;
mod return_schedule;
mod returning;

pub use {
    return_budget::ReturnBudget, return_counts::ReturnCounts, return_promise::ReturnPromise,
    return_request::ReturnRequest, return_schedule::ReturnSchedule, returning::Returning,
};
