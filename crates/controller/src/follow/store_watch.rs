use {
    futures::StreamExt,
    jasmine_core::clock::Millis,
    jasmine_store::store::{Range, Store, StoreError, WatchBatch, WatchEvent},
    std::rc::Rc,
    tokio::time::{Instant, timeout_at},
};

/// Lifetime of a watch before it is reopened.
///
/// A stalled watch can't be told from an idle one; reopening it bounds how long changes are missed.
pub const WATCH_LIFETIME: Millis = Millis(20_000);

/// How a watch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// Its lifetime or its connection ended: reopen it at the next revision.
    Ended,
    /// The next revision was compacted: read the whole range again.
    Compacted,
}

/// A watch of a key range that resumes across connections.
pub struct StoreWatch {
    store: Rc<dyn Store>,
    range: Range,
    next: u64,
}

impl std::fmt::Debug for StoreWatch {
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("StoreWatch")
            .field("range", &self.range)
            .field("next", &self.next)
            .finish_non_exhaustive()
    }
}

impl StoreWatch {
    /// Creates a watch of the changes after store revision `read`.
    pub const fn new(
        store: Rc<dyn Store>,
        range: Range,
        read: u64,
    ) -> Self {
        Self {
            store,
            range,
            next: read + 1,
        }
    }

    /// Creates a watch of the changes from now on.
    pub const fn from_now(
        store: Rc<dyn Store>,
        range: Range,
    ) -> Self {
        Self {
            store,
            range,
            next: 0,
        }
    }

    /// Calls `f` for each change in order, over one connection.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the watch can't be opened or fails; the next call resumes it.
    pub async fn run_once<F>(
        &mut self,
        mut f: F,
    ) -> Result<WatchEnd, StoreError>
    where
        F: FnMut(&WatchEvent),
    {
        let until = Instant::now() + WATCH_LIFETIME.to_std();
        let mut stream = self.store.watch(self.range.clone(), self.next).await?;
        loop {
            match timeout_at(until, stream.next()).await {
                Err(_) | Ok(None) => return Ok(WatchEnd::Ended),
                Ok(Some(Err(e))) => return Err(e),
                Ok(Some(Ok(batch))) if batch.compacted.is_some() => {
                    return Ok(WatchEnd::Compacted);
                }
                Ok(Some(Ok(batch))) => self.deliver(&batch, &mut f),
            }
        }
    }

    fn deliver<F>(
        &mut self,
        batch: &WatchBatch,
        f: &mut F,
    ) where
        F: FnMut(&WatchEvent),
    {
        for event in &batch.events {
            let (WatchEvent::Put(kv) | WatchEvent::Delete(kv)) = event;
            self.next = self.next.max(kv.mod_revision + 1);
            f(event);
        }
    }
}
