//! A TCP proxy that injects network faults between two processes.

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
