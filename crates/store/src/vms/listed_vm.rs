use {
    jasmine_core::ids::VmId,
    serde::{Deserialize, Serialize},
};

/// The state of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// One entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedVm {
    /// The id of the VM.
    pub vm: VmId,
    /// The address of the VM.
    pub address: String,
    /// The state of the VM.
    pub state: ListedState,
}
