use {
    super::{Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// Which of a VM's two daemons a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves callers; holds the client accounts' rate rights.
    #[display("gateway")]
    Gateway,
    /// Serves operators and orders loads; holds the rights to the weight store.
    #[display("controller")]
    Controller,
}

/// One run of one daemon on one VM: what holds rights, grants and leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[display("{role}-{vm}/{incarnation}")]
pub struct Holder {
    /// The VM it runs on.
    pub vm: VmId,
    /// Which daemon it is.
    pub role: Role,
    /// Which run of that daemon.
    pub incarnation: Incarnation,
}
