//! A TCP proxy between two processes that brings about the faults of a network.

mod control;
mod link;
mod tcp_proxy;

pub use {
    control::start_control,
    link::{Fault, Link},
    tcp_proxy::Proxy,
};
