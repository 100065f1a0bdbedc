//! HTTP client connections to upstreams, the store and engines.

mod call;
mod connection;
mod pool;
mod read_budget;

pub use {
    call::{CallError, HttpCall},
    connection::{Connection, ExchangeError, ResponseStart, answers_request},
    pool::Pool,
    read_budget::{ReadBudget, ReadCharge},
};
