//! Rates at which adapters are used, and how many copies of each are worth having.

mod demand_rate;
mod load_usefulness;
mod table;

pub use {
    demand_rate::{DemandRate, Trend},
    load_usefulness::{LoadUsefulness, PlannedCopy},
    table::{AdapterDemand, RequestedAdapter},
};
