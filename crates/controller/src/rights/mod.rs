//! This controller's share of the weight store's rate limit, which moves with demand.

mod load_budget;

pub use load_budget::{LoadBudget, WEIGHT_STORE_ACCOUNT, weight_store_limit};
