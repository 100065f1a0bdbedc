use {
    crate::upstream::{CallError, HttpCall, Pool},
    futures::stream,
    jasmine_core::clock::Millis,
    jasmine_platform::kv::{
        Call, decode_keep, decode_lease, decode_lease_end, decode_range, decode_txn, decode_watch,
        encode_grant, encode_keep, encode_lease_end, encode_range, encode_txn, encode_watch,
    },
    jasmine_store::store::{
        Lease, LeaseId, Range, RangeReply, Store, StoreError, StoreFuture, Txn, TxnReply,
        WatchStream,
    },
    std::{net::SocketAddr, rc::Rc},
};

/// How long a call may take beyond the time that it asks the service to hold it. The service answers in a few
/// milliseconds; when it is slow, in some hundred.
const CALL_TIMEOUT: Millis = Millis(900);
/// The key-value service.
#[derive(Clone, Debug)]
pub struct KvStore {
    inner: Rc<Inner>,
}

#[derive(Debug)]
struct Inner {
    address: SocketAddr,
    /// How long a watch is held. A connection may go silent without a word; a watch that is answered this often
    /// tells a silent one apart before a change is overdue.
    watch_held: Millis,
    pool: Pool,
}

impl KvStore {
    /// A client of the service at `address`, which connects when first used and asks for watches to be held for
    /// `watch_held`.
    pub fn new(
        address: SocketAddr,
        watch_held: Millis,
    ) -> Self {
        let inner = Inner {
            address,
            watch_held,
            pool: Pool::default(),
        };
        Self {
            inner: Rc::new(inner),
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        self.inner.pool.sweep();
    }

    /// Renews a lease, and gives up after `limit`: the renewal counts from its arrival, whether or not its answer
    /// comes back.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn renew(
        &self,
        id: LeaseId,
        limit: Millis,
    ) -> Result<Option<Lease>, StoreError> {
        let (status, body) = self.call_within(&encode_keep(id), limit).await?;
        decode_keep(id, status, &body)
    }

    /// Reads the first keys of a prefix that follow a key, as many as the service gives at a time.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn page(
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
        self.call_within(call, CALL_TIMEOUT).await
    }

    /// Makes a call that may take `limit` beyond the time for which it asks to be held.
    async fn call_within(
        &self,
        call: &Call,
        limit: Millis,
    ) -> Result<(u16, bytes::Bytes), StoreError> {
        let call = HttpCall {
            address: self.inner.address,
            method: &call.verb.to_string(),
            target: &call.target,
            headers: "",
            body: &call.body,
            limit: call.held + limit,
            fresh: false,
        };
        call.make(&self.inner.pool).await.map_err(|e| match e {
            CallError::Unsent => StoreError::Unreachable(e.to_string()),
            CallError::Unanswered => StoreError::OutcomeUnknown(e.to_string()),
        })
    }

    async fn pages(
        &self,
        prefix: &str,
    ) -> Result<RangeReply, StoreError> {
        let mut all = RangeReply::default();
        loop {
            let after = all.kvs.last().map(|kv| kv.key.clone());
            let page = self.page(prefix, after.as_deref()).await?;
            // Pages are no snapshot: whoever follows the range has to go on from the first one's revision.
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
    /// Reads the keys that begin with the range's start; its end and limit are not looked at, as the service
    /// reads prefixes only.
    fn range(
        &self,
        range: Range,
    ) -> StoreFuture<'_, RangeReply> {
        Box::pin(async move { self.pages(&range.start).await })
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
            let (status, body) = self.call(&encode_lease_end(id)).await?;
            decode_lease_end(status, &body)
        })
    }

    /// Follows a prefix; each message that is asked for is one call.
    fn watch(
        &self,
        range: Range,
        from_revision: u64,
    ) -> StoreFuture<'_, WatchStream> {
        let state = (self.clone(), range.start, from_revision.saturating_sub(1));
        let watch: WatchStream = Box::pin(stream::try_unfold(
            state,
            |(store, prefix, after)| async move {
                let call = encode_watch(&prefix, after, store.inner.watch_held);
                let (status, body) = store.call(&call).await?;
                let batch = decode_watch(status, &body)?;
                let after = batch.revision.max(after);
                Ok(Some((batch, (store, prefix, after))))
            },
        ));
        Box::pin(async move { Ok(watch) })
    }
}
