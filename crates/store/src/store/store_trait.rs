use {
    super::{Lease, LeaseId, Range, RangeReply, StoreError, Txn, TxnReply, WatchStream},
    futures::future::LocalBoxFuture,
    jasmine_core::clock::Millis,
};

/// The future of a call to the key-value service.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// The interface of the platform's key-value service.
///
/// Each call has a timeout. Calls are never retried here, because only the caller knows whether a retry
/// is safe.
pub trait Store {
    /// Reads keys at one revision.
    fn range(
        &self,
        range: Range,
    ) -> StoreFuture<'_, RangeReply>;

    /// Executes a transaction.
    fn txn(
        &self,
        txn: Txn,
    ) -> StoreFuture<'_, TxnReply>;

    /// Grants a lease with the time to live `ttl`.
    fn grant(
        &self,
        ttl: Millis,
    ) -> StoreFuture<'_, Lease>;

    /// Renews a lease; `None` if it has expired or was revoked.
    fn keep_alive(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, Option<Lease>>;

    /// Revokes a lease and deletes the keys attached to it.
    fn revoke(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, ()>;

    /// Watches the changes in a range, starting at `from_revision`.
    fn watch(
        &self,
        range: Range,
        from_revision: u64,
    ) -> StoreFuture<'_, WatchStream>;
}
