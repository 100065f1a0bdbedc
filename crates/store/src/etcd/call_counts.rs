use {
    super::CallKind,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Calls made and failed so far, by kind; shared with the metrics page.
#[derive(Clone, Debug, Default)]
pub struct CallCounts {
    cells: Arc<[[AtomicU64; 2]; CallKind::ALL.len()]>,
    waiting: Arc<AtomicU64>,
}

/// Counts one watch for as long as it is kept.
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
    /// Calls of this kind that were sent.
    pub fn made(
        &self,
        kind: CallKind,
    ) -> u64 {
        self.cells[kind as usize][0].load(Ordering::Relaxed)
    }

    /// Calls of this kind that ended without a usable answer.
    pub fn failed(
        &self,
        kind: CallKind,
    ) -> u64 {
        self.cells[kind as usize][1].load(Ordering::Relaxed)
    }

    /// Watches that wait now; the platform counts each as a call.
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
