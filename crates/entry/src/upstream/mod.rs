//! HTTP client connections to upstreams, the store and engines.

mod call;
mod connection;
mod peer_budget;
mod pool;
mod read_budget;

pub use {
    call::{CallError, HttpCall},
    connection::{Connection, ExchangeError, ResponseStart, answers_request},
    pool::Pool,
    read_budget::{ReadBudget, ReadCharge},
};
