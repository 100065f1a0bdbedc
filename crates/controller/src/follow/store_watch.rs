use {
    futures::StreamExt,
    jasmine_core::clock::Millis,
    jasmine_store::store::{Range, Store, StoreError, WatchBatch, WatchEvent},
    std::rc::Rc,
    tokio::time::{Instant, timeout_at},
};

/// A watch is replaced by a new one after this long.
///
/// A watch that has gone silent looks exactly like one on which nothing happens. Replacing it bounds
/// for how long changes can go unseen, at the cost of one call in this time.
pub const REPLACED_AFTER: Millis = Millis(20_000);

/// How a watch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEnd {
    /// It was replaced by plan, or its connection ended: go on from where it was.
    Over,
    /// The store has forgotten what came next: read everything anew.
    Compacted,
}

/// A watch of a range that goes on from connection to connection.
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
    /// A watch of the changes after the store's revision `read`.
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

    /// A watch of the changes from now on.
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

    /// Hands changes to `f` in their order, over one connection.
    ///
    /// # Errors
    ///
    /// [`StoreError`] where the watch can't be opened or breaks; calling again goes on.
    pub async fn run_once<F>(
        &mut self,
        mut f: F,
    ) -> Result<WatchEnd, StoreError>
    where
        F: FnMut(&WatchEvent),
    {
        let until = Instant::now() + REPLACED_AFTER.to_std();
        let mut stream = self.store.watch(self.range.clone(), self.next).await?;
        loop {
            match timeout_at(until, stream.next()).await {
                Err(_) | Ok(None) => return Ok(WatchEnd::Over),
                Ok(Some(Err(e))) => return Err(e),
                Ok(Some(Ok(batch))) if batch.compacted.is_some() => {
                    return Ok(WatchEnd::Compacted);
                }
                Ok(Some(Ok(batch))) => self.hand_on(&batch, &mut f),
            }
        }
    }

    fn hand_on<F>(
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
