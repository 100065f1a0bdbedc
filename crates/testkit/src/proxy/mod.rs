//! A TCP proxy between two processes that brings about the faults of a network.

mod control;
mod link;
mod passed;
mod tcp_proxy;

pub use {
    control::start_control,
    link::{Fault, Link},
    passed::Passed,
    tcp_proxy::Proxy,
};
