use {
    jasmine_core::{
        ids::{Incarnation, VmId},
        membership::LiveVm,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One run of one daemon and where other daemons reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DaemonRecord {
    /// The run.
    pub incarnation: Incarnation,
    /// Its address for peers.
    pub address: SocketAddr,
}

/// A VM as its controller registers it, under the controller's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// The VM.
    pub vm: VmId,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Its controller.
    pub controller: DaemonRecord,
    /// Its gateway, once the controller has heard from it.
    pub gateway: Option<DaemonRecord>,
    /// Whether it is about to stop.
    pub leaving: bool,
}

impl MemberRecord {
    /// What the machine of epochs has to know.
    pub fn live(&self) -> LiveVm {
        LiveVm {
            vm: self.vm,
            gateway: self.gateway.map(|gateway| gateway.incarnation),
            controller: Some(self.controller.incarnation),
        }
    }
}
