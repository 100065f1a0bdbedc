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
    /// The VM.
    pub vm: VmId,
    /// Its gateway's run, if its controller knows one.
    pub gateway: Option<Incarnation>,
    /// Its controller's run.
    pub controller: Option<Incarnation>,
}

impl LiveVm {
    /// The run of one of its daemons.
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

/// A value of the store with the revision at which it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The store's revision of the last write to its key.
    pub mod_revision: u64,
}

/// What a holder had when it entered an epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoldingsRecord {
    /// The epoch it entered.
    pub epoch: Epoch,
    /// The holder.
    pub holder: Holder,
    /// What it had.
    pub rights: Vec<Right>,
}

/// The last word of a holder that has stopped: it admits and gives nothing any more.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleasedRecord {
    /// The holder.
    pub holder: Holder,
    /// What it had left.
    pub rights: Vec<Right>,
}

/// Something whose rate is divided: a client account, or the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The account's number.
    pub account: AccountId,
    /// Which daemons hold it.
    pub role: Role,
    /// Its limit.
    pub limit: Limit,
}

/// What a controller has read; any part may be old.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// When the oldest part of it was asked for.
    pub read_at: Millis,
    /// VMs with a live lease.
    pub live: Vec<LiveVm>,
    /// The platform's VM list; none when it could not be read.
    pub listed: Option<BTreeSet<VmId>>,
    /// The epoch record; none when the store has none.
    pub epoch: Option<Versioned<EpochRecord>>,
    /// Reports for that epoch.
    pub holdings: Vec<HoldingsRecord>,
    /// Last words of holders that have stopped.
    pub released: Vec<ReleasedRecord>,
    /// All budgets of the configuration in force here.
    pub budgets: Vec<Budget>,
}
