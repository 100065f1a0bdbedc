use {
    crate::ids::{AdapterId, UpstreamId},
    std::collections::HashMap,
};

/// The shortest list that is pruned when it is full.
const MIN_PRUNED: usize = 8;

/// Which engines may hold an adapter, or can load it quickly.
///
/// The lists may name engines that hold it no more; readers check the engine itself. They never lack one that does.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    by_adapter: HashMap<AdapterId, Vec<UpstreamId>>,
}

impl Holders {
    /// Notes that an engine may hold an adapter; `holds` tells whether one that is listed still does.
    pub(super) fn add<F>(
        &mut self,
        adapter: AdapterId,
        engine: UpstreamId,
        holds: F,
    ) where
        F: Fn(UpstreamId) -> bool,
    {
        let engines = self.by_adapter.entry(adapter).or_default();
        let Err(at) = engines.binary_search(&engine) else {
            return;
        };
        if engines.len() < MIN_PRUNED || engines.len() < engines.capacity() {
            engines.insert(at, engine);
            return;
        }
        engines.retain(|&listed| holds(listed));
        let at = engines.partition_point(|&listed| listed < engine);
        engines.insert(at, engine);
    }

    /// Engines that may hold an adapter, in the order of their ids.
    pub(super) fn of(
        &self,
        adapter: AdapterId,
    ) -> &[UpstreamId] {
        self.by_adapter.get(&adapter).map_or(&[], Vec::as_slice)
    }
}
