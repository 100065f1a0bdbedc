use {
    crate::{
        ids::{AccountId, Epoch, Holder, Role},
        rights::Right,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// What an epoch adds to one holder.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderGrants {
    /// The holder.
    pub holder: Holder,
    /// Its grants, one for each account.
    pub rights: Vec<Right>,
}

/// The record of the current epoch, as it stands in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EpochRecord {
    /// Its number.
    pub epoch: Epoch,
    /// All holders that may hold rights, in order.
    pub members: Vec<Holder>,
    /// Whether reports of holdings are still being gathered.
    pub closing: bool,
    /// What this epoch adds. While it is closing: accounts that nobody has ever held.
    pub grants: Vec<HolderGrants>,
    /// Accounts whose whole has been granted once, and to which daemons; all others are new.
    pub issued: BTreeMap<AccountId, Role>,
    /// Tokens that stopped holders gave back and that no finalised epoch has granted yet.
    pub freed: BTreeMap<AccountId, u64>,
}

impl EpochRecord {
    /// Whether a holder belongs to the epoch.
    pub fn is_member(
        &self,
        holder: Holder,
    ) -> bool {
        self.members.binary_search(&holder).is_ok()
    }

    /// What the epoch adds to a holder so far.
    pub fn grants_for(
        &self,
        holder: Holder,
    ) -> &[Right] {
        self.grants
            .iter()
            .find(|grants| grants.holder == holder)
            .map_or(&[], |grants| &grants.rights)
    }
}
