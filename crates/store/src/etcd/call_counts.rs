use {
    super::CallKind,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Counts sent and failed calls by kind; clones share the same counters.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    cells: Arc<[[AtomicU64; 2]; CallKind::ALL.len()]>,
    waiting: Arc<AtomicU64>,
}

/// Counts a watch as open until dropped.
#[derive(Debug)]
pub(super) struct OpenWatch {
    waiting: Arc<AtomicU64>,
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallCounts {
    /// The number of calls of this kind that were sent.
    pub fn made(
        &self,
        kind: CallKind,
    ) -> u64 {
        self.cells[kind as usize][0].load(Ordering::Relaxed)
    }

    /// The number of calls of this kind that ended without a usable response.
    pub fn failed(
        &self,
        kind: CallKind,
    ) -> u64 {
        self.cells[kind as usize][1].load(Ordering::Relaxed)
    }

    /// The number of open watches.
    pub fn watches(&self) -> u64 {
        self.waiting.load(Ordering::Relaxed)
    }

    pub(super) fn open_watch(&self) -> OpenWatch {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        OpenWatch {
            waiting: Arc::clone(&self.waiting),
        }
    }

    pub(super) fn count_made(
        &self,
        kind: CallKind,
    ) {
        self.cells[kind as usize][0].fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn count_failed(
        &self,
        kind: CallKind,
    ) {
        self.cells[kind as usize][1].fetch_add(1, Ordering::Relaxed);
    }
}
