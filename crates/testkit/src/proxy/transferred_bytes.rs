use {
    super::link::Direction,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Bytes transferred through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// Bytes from clients to the target.
    pub to_target: u64,
    /// Bytes from the target to clients.
    pub to_client: u64,
}

/// Transfer counters, written by the proxy thread and read by others.
#[derive(Debug, Default)]
pub(super) struct TransferCounters {
    to_target: AtomicU64,
    to_client: AtomicU64,
}

impl TransferCounters {
    pub(super) fn add(
        &self,
        direction: Direction,
        bytes: u64,
    ) {
        let count = match direction {
            Direction::ToTarget => &self.to_target,
            Direction::ToClient => &self.to_client,
        };
        count.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn transferred_bytes(&self) -> TransferredBytes {
        TransferredBytes {
            to_target: self.to_target.load(Ordering::Relaxed),
            to_client: self.to_client.load(Ordering::Relaxed),
        }
    }
}
