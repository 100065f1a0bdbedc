//! Connections to upstreams, to the store and to engines' orders.

mod call;
mod connection;
mod pool;

pub use {
    call::{CallError, HttpCall},
    connection::{Begun, Connection, ExchangeError},
    pool::Pool,
};
