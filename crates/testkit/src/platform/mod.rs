//! A fake platform: the key-value service (etcd v3 JSON gateway) and the VM list.

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
