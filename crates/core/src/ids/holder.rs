use {
    super::{Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// The role of a daemon; each VM runs one of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Serves callers and holds rate rights to client accounts.
    #[display("gateway")]
    Gateway,
    /// Serves operators, orders adapter loads and holds rate rights to the weight store.
    #[display("controller")]
    Controller,
}

/// One run of a daemon on a VM, which can hold rights, grants and leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(derive_more::Display)]
#[display("{role}-{vm}/{incarnation}")]
pub struct Holder {
    /// The VM of the daemon.
    pub vm: VmId,
    /// The role of the daemon.
    pub role: Role,
    /// The run of the daemon.
    pub incarnation: Incarnation,
}
