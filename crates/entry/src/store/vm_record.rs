use {
    jasmine_core::feed::VmRank,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A VM's record in the store, written by that VM.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name.
    pub vm: String,
    /// The address on which it listens for other VMs.
    pub peers: SocketAddr,
    /// The address on which it takes requests of VMs that have lost their links to the upstreams.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Random number that identifies the run of the daemon.
    pub incarnation: u64,
    /// The data centre of the VM.
    #[serde(default)]
    pub data_centre: String,
    /// Whether it has less processor or network than most.
    #[serde(default)]
    pub is_weak: bool,
    /// Processor share, in percent of a core.
    #[serde(default)]
    pub processor_percent: u32,
}

impl VmRecord {
    /// The VM's rank, the same on all VMs.
    pub fn rank(&self) -> VmRank {
        VmRank::new(&self.vm, self.is_weak)
    }

    /// Identity across restarts: name and IP address, so that another VM with the same name differs.
    pub fn host_identity(&self) -> String {
        format!("{}@{}", self.vm, self.peers.ip())
    }

    /// Encodes the record as its value in the store.
    ///
    /// # Panics
    ///
    /// Never: the record has only types that JSON can represent.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a VM record is valid JSON")
    }
}

/// A VM from which this one may read changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPeer {
    /// The VM's name.
    pub name: String,
    /// The address on which it listens for other VMs.
    pub address: SocketAddr,
}
