use {
    jasmine_core::ids::VmId,
    serde::{Deserialize, Serialize},
};

/// What the platform says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// One row of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Its address.
    pub address: String,
    /// Its state.
    pub state: ListedState,
}
