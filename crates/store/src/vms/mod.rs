//! The platform's list of VMs, which lags behind what is.

mod listed_vm;
mod vm_list;

pub use {
    listed_vm::{ListedState, ListedVm},
    vm_list::{VmList, VmListError},
};
