use {
    super::EpochRecord,
    crate::{
        clock::Millis,
        ids::{AccountId, Epoch, Holder, Incarnation, Role, VmId},
        rights::{Limit, Right},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeSet,
};

/// A VM whose member record is under a live lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveVm {
    /// Id of the VM that the two daemons run on.
    pub vm: VmId,
    /// Incarnation of its gateway, if its controller knows one.
    pub gateway: Option<Incarnation>,
    /// Incarnation of its controller.
    pub controller: Option<Incarnation>,
}

impl LiveVm {
    /// The incarnation of one of its daemons.
    pub const fn incarnation(
        &self,
        role: Role,
    ) -> Option<Incarnation> {
        match role {
            Role::Gateway => self.gateway,
            Role::Controller => self.controller,
        }
    }
}

/// A value from the store with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value as last read; the store may hold a newer one.
    pub value: T,
    /// The store's revision of the last write to its key.
    pub mod_revision: u64,
}

/// A holder's report of its rights on entering an epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoldingsRecord {
    /// The epoch it entered.
    pub epoch: Epoch,
    /// The daemon run that entered the epoch.
    pub holder: Holder,
    /// What it holds of the accounts' rates and bursts.
    pub rights: Vec<Right>,
}

/// The final release of a stopped holder, which neither uses nor transfers rights any more.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleasedRecord {
    /// The daemon run that has stopped.
    pub holder: Holder,
    /// Its remaining rights.
    pub rights: Vec<Right>,
}

/// A rate limit that is divided among holders: that of a client account or of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The account's id.
    pub account: AccountId,
    /// The role of the daemons that hold it.
    pub role: Role,
    /// The total rate and burst, of which each holder has a part.
    pub limit: Limit,
}

/// What a controller has read from the store and the platform; any part may be stale.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// When the oldest part was requested.
    pub read_at: Millis,
    /// VMs with a live lease.
    pub live: Vec<LiveVm>,
    /// The platform's VM list; `None` if it could not be read.
    pub listed: Option<BTreeSet<VmId>>,
    /// The epoch record; `None` if the store has none.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// Reports for that epoch.
    pub holdings: Vec<HoldingsRecord>,
    /// Final releases of stopped holders.
    pub released: Vec<ReleasedRecord>,
    /// All budgets of the active configuration.
    pub budgets: Vec<Budget>,
}
