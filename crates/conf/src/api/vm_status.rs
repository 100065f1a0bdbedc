use {
    super::DaemonState,
    jasmine_core::ids::{Epoch, VmId},
    serde::{Deserialize, Serialize},
};

/// One VM as seen by the controller that answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmStatus {
    /// The id of the VM.
    pub vm: VmId,
    /// The name of its data centre.
    pub data_centre: String,
    /// Whether the VM is shutting down.
    pub leaving: bool,
    /// The state of its controller.
    pub controller: DaemonState,
    /// The state of its gateway, as reported by its controller.
    pub gateway: DaemonState,
    /// Whether its controller can reach the key-value service; `None` if not reported.
    pub store_up: Option<bool>,
    /// The epoch of its rate-limit allocation; `None` if not reported.
    pub epoch: Option<Epoch>,
    /// The number of engines that it owns; `None` if not reported.
    pub owned: Option<u32>,
}
