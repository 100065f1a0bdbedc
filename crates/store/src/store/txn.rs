use super::{Compare, KeyValue, LeaseId, Range};

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease it hangs on.
        lease: Option<LeaseId>,
    },
    /// Deletes keys.
    Delete(Range),
    /// Reads keys.
    Get(Range),
}

impl Op {
    /// Writes a key that stays until it is deleted.
    pub fn put(
        key: impl Into<String>,
        value: impl Into<Vec<u8>>,
    ) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: None,
        }
    }

    /// Writes a key that goes with its lease.
    pub fn put_leased(
        key: impl Into<String>,
        value: impl Into<Vec<u8>>,
        lease: LeaseId,
    ) -> Self {
        Self::Put {
            key: key.into(),
            value: value.into(),
            lease: Some(lease),
        }
    }
}

/// A transaction: when all conditions hold the first list is done, else the second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compare: Vec<Compare>,
    /// Done when all hold.
    pub success: Vec<Op>,
    /// Done otherwise.
    pub failure: Vec<Op>,
}

/// What a transaction did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The store's revision afterwards.
    pub revision: u64,
    /// What each operation read, empty for writes.
    pub reads: Vec<Vec<KeyValue>>,
}
