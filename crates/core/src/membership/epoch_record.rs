use {
    crate::{
        ids::{AccountId, Epoch, Holder, Role},
        rights::Right,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The rights that an epoch grants to one holder.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HolderGrants {
    /// The daemon run that may use the granted rights.
    pub holder: Holder,
    /// The granted rights, one per account.
    pub rights: Vec<Right>,
}

/// The record of the current epoch in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EpochRecord {
    /// The epoch's number.
    pub epoch: Epoch,
    /// All holders that may hold rights, sorted.
    pub members: Vec<Holder>,
    /// Whether reports of holdings are still being collected.
    pub closing: bool,
    /// Rights that this epoch grants; while `closing`, only those of accounts never held before.
    pub grants: Vec<HolderGrants>,
    /// Accounts that have been granted, with the role of their holders; all others are new.
    pub issued: BTreeMap<AccountId, Role>,
    /// Tokens released by stopped holders that no finalised epoch has granted again.
    pub freed: BTreeMap<AccountId, u64>,
}

impl EpochRecord {
    /// Whether a holder is a member of the epoch.
    pub fn is_member(
        &self,
        holder: Holder,
    ) -> bool {
        self.members.binary_search(&holder).is_ok()
    }

    /// The rights that the epoch grants to a holder so far.
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
