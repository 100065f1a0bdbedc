//! Client of the platform: its key-value service with leases and watches, and its list of VMs.

pub mod etcd;
pub mod http;
pub mod store;
pub mod vms;
