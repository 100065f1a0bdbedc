use {
    jasmine_core::ids::{Fence, Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// Who owns an engine, as it stands in the store under the owner's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerRecord {
    /// The VM of the owner.
    pub vm: VmId,
    /// The run of its controller.
    pub incarnation: Incarnation,
    /// Counts the fencing tokens that this owner has taken for the engine.
    pub renewal: u64,
}

/// An owner with its fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The record.
    pub record: OwnerRecord,
    /// The store's revision of the record: grows with each change of owner.
    pub fence: Fence,
}
