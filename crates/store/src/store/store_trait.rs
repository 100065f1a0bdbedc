use {
    super::{Lease, LeaseId, Range, RangeReply, StoreError, Txn, TxnReply, WatchStream},
    futures::future::LocalBoxFuture,
    jasmine_core::clock::Millis,
};

/// The future of a call to the key-value service.
pub type StoreFuture<'a, T> = LocalBoxFuture<'a, Result<T, StoreError>>;

/// The platform's key-value service.
///
/// Each call ends within its timeout. None is repeated here: whether a repeat is harmless only the
/// caller knows.
pub trait Store {
    /// Reads keys at one revision.
    fn range(
        &self,
        range: Range,
    ) -> StoreFuture<'_, RangeReply>;

    /// Does a transaction.
    fn txn(
        &self,
        txn: Txn,
    ) -> StoreFuture<'_, TxnReply>;

    /// Takes a lease of `ttl`.
    fn grant(
        &self,
        ttl: Millis,
    ) -> StoreFuture<'_, Lease>;

    /// Renews a lease; `None` when it has ended.
    fn keep_alive(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, Option<Lease>>;

    /// Ends a lease and deletes what hangs on it.
    fn revoke(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, ()>;

    /// Follows the changes in a range from `from_revision` on.
    fn watch(
        &self,
        range: Range,
        from_revision: u64,
    ) -> StoreFuture<'_, WatchStream>;
}
