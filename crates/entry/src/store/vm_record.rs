use {
    jasmine_core::feed::VmRank,
    jasmine_store::store::KeyValue,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The lease of a key that is bound to none.
pub(crate) const NO_LEASE: u64 = 0;

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

/// Why a value of the store is no VM's record.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub(super) enum RecordError {
    /// It isn't JSON of the expected shape.
    #[display("{_0}")]
    Json(serde_json::Error),
    /// It isn't bound to a lease, as all that VMs write of themselves.
    #[display("a record without a lease")]
    NoLease,
    /// It stands under the key of another VM.
    #[display("the record of {_0:?}")]
    #[from(skip)]
    OtherVm(#[error(not(source))] String),
}

impl VmRecord {
    /// Decodes the value of a key that VMs write; others may have written it.
    ///
    /// # Errors
    ///
    /// [`RecordError`].
    pub(super) fn decode(kv: &KeyValue) -> Result<Self, RecordError> {
        let record = serde_json::from_slice(&kv.value)?;
        match kv.lease {
            NO_LEASE => Err(RecordError::NoLease),
            _ => Ok(record),
        }
    }

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
