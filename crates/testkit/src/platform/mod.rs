//! Stands in for the platform's key-value service (the etcd v3 JSON gateway) and its VM list.

mod api;
mod faults;
mod messages;
mod store;
mod vm_list;
mod watch;

pub use {
    api::start,
    faults::PlatformFaults,
    vm_list::{ListedVm, VmList},
};
