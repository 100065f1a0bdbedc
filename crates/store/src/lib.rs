//! Clients of the platform's key-value service, with leases and watches, and of its VM list.

pub mod etcd;
pub mod http;
pub mod store;
pub mod vms;
