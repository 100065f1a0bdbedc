//! HTTP client connections to upstreams, the store and engines.

mod awaited;
mod call;
mod carried_requests;
mod connection;
mod peer_budget;
mod pool;
mod read_budget;

pub use {
    awaited::{Awaited, RequestTag},
    call::{CallError, HttpCall},
    connection::{Connection, ExchangeError, ResponseStart},
    pool::{Liveness, Pool},
    read_budget::{ReadBudget, ReadCharge},
};
