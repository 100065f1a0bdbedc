use {
    super::DaemonState,
    jasmine_core::ids::{Epoch, VmId},
    serde::{Deserialize, Serialize},
};

/// One VM as the asked controller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmStatus {
    /// Its number.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its controller.
    pub controller: DaemonState,
    /// Its gateway, as its controller sees it.
    pub gateway: DaemonState,
    /// Whether its controller reaches the key-value service; none: it did not say.
    pub store_up: Option<bool>,
    /// The epoch of rights that it is in; none: it did not say.
    pub epoch: Option<Epoch>,
    /// Engines that it owns; none: it did not say.
    pub owned: Option<u32>,
}
