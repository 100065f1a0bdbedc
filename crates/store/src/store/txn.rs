use super::{Compare, KeyValue, LeaseId, Range};

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Writes a key.
    Put {
        /// The key to write.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// The lease to attach the key to.
        lease: Option<LeaseId>,
    },
    /// Deletes keys.
    Delete(Range),
    /// Reads keys.
    Get(Range),
}

impl Op {
    /// Writes a key without a lease.
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

    /// Writes a key that is deleted when its lease ends.
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

/// An atomic transaction that executes one of two lists of operations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions that select the list.
    pub compare: Vec<Compare>,
    /// Executed if all conditions hold.
    pub success: Vec<Op>,
    /// Executed otherwise.
    pub failure: Vec<Op>,
}

/// The result of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TxnReply {
    /// Whether all conditions held.
    pub succeeded: bool,
    /// The store revision after the transaction.
    pub revision: u64,
    /// The keys that each operation read; empty for writes.
    pub reads: Vec<Vec<KeyValue>>,
}
