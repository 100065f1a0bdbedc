//! The platform's list of VMs, which is eventually consistent.

mod listed_vm;
mod vm_list;

pub use {
    listed_vm::{ListedState, ListedVm},
    vm_list::{VmList, VmListError},
};
