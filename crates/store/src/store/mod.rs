//! The client interface of the key-value service, and its types.

mod compare;
mod error;
mod key_value;
mod lease;
mod range;
mod store_trait;
mod txn;
mod watch;

pub use {
    compare::Compare,
    error::StoreError,
    key_value::KeyValue,
    lease::{Lease, LeaseId},
    range::{Range, RangeReply},
    store_trait::{Store, StoreFuture},
    txn::{Op, Txn, TxnReply},
    watch::{WatchBatch, WatchEvent, WatchStream},
};
