use {
    jasmine_core::{
        ids::{Incarnation, VmId},
        membership::LiveVm,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One run of a daemon and its address for peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DaemonRecord {
    /// Number of the run, which grows with each restart.
    pub incarnation: Incarnation,
    /// Address for RPC from other daemons.
    pub address: SocketAddr,
}

/// The record of a VM, registered by its controller under the controller's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Id of the VM.
    pub vm: VmId,
    /// Name of its data centre.
    pub data_centre: String,
    /// Current run of its controller.
    pub controller: DaemonRecord,
    /// Current run of its gateway, once it has contacted the controller.
    pub gateway: Option<DaemonRecord>,
    /// Whether the VM is shutting down.
    pub leaving: bool,
}

impl MemberRecord {
    /// Returns the part that the epoch state machine uses.
    pub fn live(&self) -> LiveVm {
        LiveVm {
            vm: self.vm,
            gateway: self.gateway.map(|gateway| gateway.incarnation),
            controller: Some(self.controller.incarnation),
        }
    }
}
