//! This controller's part of the weight store's rate, moved between controllers as demand moves.

mod load_budget;

pub use load_budget::{LoadBudget, WEIGHT_STORE, weight_store_limit};
