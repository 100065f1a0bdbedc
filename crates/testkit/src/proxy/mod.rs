//! A TCP proxy that injects network faults between two processes.

mod control;
mod link;
mod rewrite;
mod tcp_proxy;
mod transferred_bytes;

pub use {
    control::start_control,
    link::{Fault, Link},
    rewrite::Rewrite,
    tcp_proxy::Proxy,
    transferred_bytes::TransferredBytes,
};
