//! What requests cost: estimates learned from requests that ended, and the remaining work of those
//! that run.

mod cost_errors;
mod cost_estimate;
mod cost_key;
mod cost_model;
mod cost_prior;
mod cost_table;
mod hint_weight;
mod learned_cost;
mod learned_mean;
mod quantile;
mod running_work;
mod service_costs;

pub use {
    cost_errors::CostErrors,
    cost_estimate::CostEstimate,
    cost_key::CostKey,
    cost_model::{CostModel, MAX_ENTRIES},
    cost_prior::CostPrior,
    learned_cost::LearnedCost,
    running_work::RunningWork,
};
