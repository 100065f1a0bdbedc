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
        WatchStream,
    },
    std::{net::SocketAddr, rc::Rc},
};

/// Timeout of a call, on top of the time for which it asks the service to hold it.
const CALL_TIMEOUT: Millis = Millis(900);

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
        };
        Self {
            inner: Rc::new(inner),
        }
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
    /// [`StoreError`].
    pub async fn read_page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<RangeReply, StoreError> {
        let (status, body) = self.call(&encode_range(prefix, after, false)).await?;
        decode_range(status, &body)
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
            CallError::NoResponse => StoreError::OutcomeUnknown(e.to_string()),
        })
    }

    async fn read_all_pages(
        &self,
        prefix: &str,
    ) -> Result<RangeReply, StoreError> {
        let mut all = RangeReply::default();
        loop {
            let after = all.kvs.last().map(|kv| kv.key.clone());
            let page = self.read_page(prefix, after.as_deref()).await?;
            // Pages are not a snapshot, so a watch has to start from the first page's revision.
            if after.is_none() {
                all.revision = page.revision;
            }
            let is_last = !page.more || page.kvs.is_empty();
            all.kvs.extend(page.kvs);
            if is_last {
                return Ok(all);
            }
        }
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
        Box::pin(async move { self.read_all_pages(&range.start).await })
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
            decode_txn(status, &body)
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
                let after = batch.revision.max(after);
                Ok(Some((batch, (store, prefix, after))))
            },
        ));
        Box::pin(async move { Ok(watch) })
    }
}
