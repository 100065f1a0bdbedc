use {
    super::link::Direction,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Bytes that have passed a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Passed {
    /// From the ones that connect.
    pub to_target: u64,
    /// To the ones that connect.
    pub to_client: u64,
}

/// Counts what passes; the proxy's thread writes, others read.
#[derive(Debug, Default)]
pub(super) struct Count {
    to_target: AtomicU64,
    to_client: AtomicU64,
}

impl Count {
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

    pub(super) fn passed(&self) -> Passed {
        Passed {
            to_target: self.to_target.load(Ordering::Relaxed),
            to_client: self.to_client.load(Ordering::Relaxed),
        }
    }
}
