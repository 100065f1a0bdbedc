use {
    jasmine_core::feed::VmRank,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a VM writes about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmRecord {
    /// Its name.
    pub vm: String,
    /// Where other VMs reach it.
    pub peers: SocketAddr,
    /// Tells two runs of it apart.
    pub incarnation: u64,
    /// The data centre in which it stands.
    #[serde(default)]
    pub data_centre: String,
    /// Whether it has less processor or network than most.
    #[serde(default)]
    pub is_weak: bool,
    /// Its part of a core, in percent.
    #[serde(default)]
    pub processor_percent: u32,
}

impl VmRecord {
    /// Its place in the order that all VMs agree on.
    pub fn rank(&self) -> VmRank {
        VmRank::new(&self.vm, self.is_weak)
    }

    /// What tells this VM from another one that has taken its name: to engines that is another orderer.
    pub fn machine(&self) -> String {
        format!("{}@{}", self.vm, self.peers.ip())
    }

    /// Its value in the store.
    ///
    /// # Panics
    ///
    /// Never: strings, numbers and truth values are JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings and numbers are JSON")
    }
}

/// A VM that may serve this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// Where it listens for other VMs.
    pub address: SocketAddr,
}
