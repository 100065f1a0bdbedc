use {
    jasmine_core::ids::{Fence, Incarnation, VmId},
    serde::{Deserialize, Serialize},
};

/// The stored record of an engine's owner, attached to the owner's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnerRecord {
    /// VM of the owning controller.
    pub vm: VmId,
    /// Run of the owning controller.
    pub incarnation: Incarnation,
    /// Number of times this owner has renewed its fencing token.
    pub renewal: u64,
}

/// An owner with its fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The stored record.
    pub record: OwnerRecord,
    /// Fencing token: the store revision of the record, which grows with each write.
    pub fence: Fence,
}
