use {
    super::StoreCallKind,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Counts sent and failed calls by kind; clones share the same counters.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    counters: Arc<[[AtomicU64; 2]; StoreCallKind::ALL.len()]>,
    open_watches: Arc<AtomicU64>,
}

/// Counts a watch as open until dropped.
#[derive(Debug)]
pub(super) struct OpenWatch {
    open_watches: Arc<AtomicU64>,
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.open_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallCounts {
    /// The number of calls of this kind that were sent.
    pub fn made(
        &self,
        kind: StoreCallKind,
    ) -> u64 {
        self.counters[kind as usize][0].load(Ordering::Relaxed)
    }

    /// The number of calls of this kind that ended without a usable response.
    pub fn failed(
        &self,
        kind: StoreCallKind,
    ) -> u64 {
        self.counters[kind as usize][1].load(Ordering::Relaxed)
    }

    /// The number of open watches.
    pub fn watches(&self) -> u64 {
        self.open_watches.load(Ordering::Relaxed)
    }

    pub(super) fn open_watch(&self) -> OpenWatch {
        self.open_watches.fetch_add(1, Ordering::Relaxed);
        OpenWatch {
            open_watches: Arc::clone(&self.open_watches),
        }
    }

    pub(super) fn count_made(
        &self,
        kind: StoreCallKind,
    ) {
        self.counters[kind as usize][0].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_failed(
        &self,
        kind: StoreCallKind,
    ) {
        self.counters[kind as usize][1].fetch_add(1, Ordering::Relaxed);
    }
}
