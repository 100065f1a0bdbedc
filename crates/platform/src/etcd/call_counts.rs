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
