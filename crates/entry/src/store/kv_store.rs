use {
    crate::upstream::{CallError, HttpCall, Pool},
    futures::stream,
    jasmine_core::clock::Millis,
    jasmine_platform::kv::{
        Call, decode_keep_alive, decode_lease, decode_range, decode_revoke, decode_txn,
        decode_watch, encode_grant, encode_keep_alive, encode_range, encode_revoke, encode_txn,
        encode_watch,
    },
    jasmine_store::store::{
        Lease, LeaseId, Range, RangeReply, Store, StoreError, StoreFuture, Txn, TxnReply,
        WatchBatch, WatchStream,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc},
};

/// Timeout of a call, on top of the time for which it asks the service to hold it.
const CALL_TIMEOUT: Millis = Millis(900);

/// Shortest time for which a watch can be held, in whole milliseconds.
const NO_WAIT: Millis = Millis(1);

/// Most bytes of keys and values that are read of one prefix; many times what thousands of servers need.
const MAX_RANGE_BYTES: usize = 16 << 20;

/// Most writes that a task puts into one transaction; the service accepts twice as many entries.
pub(super) const MAX_TXN_OPS: usize = 16;

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct KvStore {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    /// Long-poll timeout of a watch; bounds the time until a dead connection is detected.
    watch_timeout: Millis,
    pool: Pool,
    /// The highest revision that the service has named in any response.
    newest_revision: Cell<u64>,
}

impl KvStore {
    /// Creates a client of the service at `address` that connects on first use.
    ///
    /// The service is asked to hold watches for `watch_timeout`.
    pub fn new(
        address: SocketAddr,
        watch_timeout: Millis,
    ) -> Self {
        let inner = Inner {
            address,
            watch_timeout,
            pool: Pool::default(),
            newest_revision: Cell::new(0),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// The highest revision that the service has named in any response so far; 0 before the first one.
    pub fn newest_revision(&self) -> u64 {
        self.inner.newest_revision.get()
    }

    fn note_revision(
        &self,
        revision: u64,
    ) {
        let newest = self.newest_revision().max(revision);
        self.inner.newest_revision.set(newest);
    }

    /// How long the service is asked to hold a watch.
    pub fn watch_timeout(&self) -> Millis {
        self.inner.watch_timeout
    }

    /// Closes connections that have exceeded their idle timeout.
    pub fn close_expired(&self) {
        self.inner.pool.close_expired();
    }

    /// Renews a lease with the timeout `timeout`; returns none if it has expired.
    ///
    /// A renewal may take effect even if its response is lost.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn renew(
        &self,
        id: LeaseId,
        timeout: Millis,
    ) -> Result<Option<Lease>, StoreError> {
        let (status, body) = self
            .call_with_timeout(&encode_keep_alive(id), timeout)
            .await?;
        decode_keep_alive(id, status, &body)
    }

    /// Reads one page of a prefix's keys, starting behind the key `after`.
    ///
    /// # Errors
    ///
    /// [`StoreError`], also if further pages would begin where this one does.
    pub async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<RangeReply, StoreError> {
        let (status, body) = self.call(&encode_range(prefix, after, false)).await?;
        let page = decode_range(status, &body)?;
        self.note_revision(page.revision);
        let last = page.kvs.last().map(|kv| kv.key.as_str());
        if page.more && last <= after {
            return Err(StoreError::OutcomeUnknown(
                "a page without progress".to_owned(),
            ));
        }
        Ok(page)
    }

    /// Reads a prefix's keys, page by page, until there are no more or `is_enough`.
    ///
    /// # Errors
    ///
    /// [`StoreError`], also if they exceed the largest size.
    pub async fn read_pages<F>(
        &self,
        prefix: &str,
        is_enough: F,
    ) -> Result<RangeReply, StoreError>
    where
        F: Fn(&RangeReply) -> bool,
    {
        // Pages are not a snapshot, so a watch has to start from the first page's revision.
        let mut all = self.read_page(prefix, None).await?;
        let mut bytes = size_in_bytes(&all);
        while all.more && !is_enough(&all) {
            let after = all.kvs.last().map(|kv| kv.key.as_str());
            let page = self.read_page(prefix, after).await?;
            bytes += size_in_bytes(&page);
            check_range_size(bytes)?;
            all.kvs.extend(page.kvs);
            all.more = page.more;
        }
        Ok(all)
    }

    /// Reads the changes of a prefix after a revision without waiting for one.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn changes_since(
        &self,
        prefix: &str,
        after: u64,
    ) -> Result<WatchBatch, StoreError> {
        let (status, body) = self.call(&encode_watch(prefix, after, NO_WAIT)).await?;
        let batch = decode_watch(status, &body)?;
        self.note_revision(batch.revision);
        Ok(batch)
    }

    async fn call(
        &self,
        call: &Call,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        self.call_with_timeout(call, CALL_TIMEOUT).await
    }

    /// Makes a call with the timeout `timeout`, on top of the time for which it asks to be held.
    async fn call_with_timeout(
        &self,
        call: &Call,
        timeout: Millis,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        let call = HttpCall {
            address: self.inner.address,
            method: &call.method.to_string(),
            target: &call.target,
            headers: "",
            body: &call.body,
            timeout: call.hold_timeout + timeout,
            requires_new_connection: false,
        };
        call.send(&self.inner.pool).await.map_err(|e| match e {
            CallError::NotSent => StoreError::Unreachable(e.to_string()),
            CallError::NoResponse(_) => StoreError::OutcomeUnknown(e.to_string()),
        })
    }
}

/// The size of a page's keys and values.
pub(super) fn size_in_bytes(page: &RangeReply) -> usize {
    page.kvs
        .iter()
        .map(|kv| kv.key.len() + kv.value.len())
        .sum()
}

/// Checks what was read of a prefix so far: a store in trouble may send pages without end.
///
/// # Errors
///
/// [`StoreError::OutcomeUnknown`] beyond the largest size.
pub(super) fn check_range_size(bytes: usize) -> Result<(), StoreError> {
    match bytes {
        0..=MAX_RANGE_BYTES => Ok(()),
        _ => Err(StoreError::OutcomeUnknown("a range without end".to_owned())),
    }
}

impl Store for KvStore {
    /// Reads the keys whose prefix is the range's start.
    ///
    /// The range's end and limit are ignored, as the service reads prefixes only.
    fn range(
        &self,
        range: Range,
    ) -> StoreFuture<'_, RangeReply> {
        Box::pin(async move { self.read_pages(&range.start, |_| false).await })
    }

    fn txn(
        &self,
        txn: Txn,
    ) -> StoreFuture<'_, TxnReply> {
        Box::pin(async move {
            let call = encode_txn(&txn).map_err(|e| StoreError::Refused {
                status: 0,
                message: e.to_string(),
            })?;
            let (status, body) = self.call(&call).await?;
            let reply = decode_txn(status, &body)?;
            self.note_revision(reply.revision);
            Ok(reply)
        })
    }

    fn grant(
        &self,
        ttl: Millis,
    ) -> StoreFuture<'_, Lease> {
        Box::pin(async move {
            let (status, body) = self.call(&encode_grant(ttl)).await?;
            decode_lease(status, &body)
        })
    }

    fn keep_alive(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, Option<Lease>> {
        Box::pin(async move { self.renew(id, CALL_TIMEOUT).await })
    }

    fn revoke(
        &self,
        id: LeaseId,
    ) -> StoreFuture<'_, ()> {
        Box::pin(async move {
            let (status, body) = self.call(&encode_revoke(id)).await?;
            decode_revoke(status, &body)
        })
    }

    /// Watches a prefix; each batch is one long-poll call.
    fn watch(
        &self,
        range: Range,
        from_revision: u64,
    ) -> StoreFuture<'_, WatchStream> {
        let state = (self.clone(), range.start, from_revision.saturating_sub(1));
        let watch: WatchStream = Box::pin(stream::try_unfold(
            state,
            |(store, prefix, after)| async move {
                let call = encode_watch(&prefix, after, store.inner.watch_timeout);
                let (status, body) = store.call(&call).await?;
                let batch = decode_watch(status, &body)?;
                store.note_revision(batch.revision);
                let after = batch.revision.max(after);
                Ok(Some((batch, (store, prefix, after))))
            },
        ));
        Box::pin(async move { Ok(watch) })
    }
}
