use crate::{
    IdMap,
    ids::{AdapterId, UpstreamId},
};

/// Number of engines listed for an adapter from which outdated entries are pruned.
const MIN_PRUNE_LEN: usize = 8;

/// Index of the engines that may hold an adapter or have unloaded it recently.
///
/// The lists are supersets: entries can be outdated, so readers must check the engine itself.
#[derive(Clone, Debug, Default)]
pub(super) struct Holders {
    by_adapter: IdMap<AdapterId, Vec<UpstreamId>>,
}

impl Holders {
    /// Adds an engine; `holds` tells whether a listed engine is still a holder.
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
        if engines.len() < MIN_PRUNE_LEN || engines.len() < engines.capacity() {
            engines.insert(at, engine);
            return;
        }
        engines.retain(|&listed| holds(listed));
        let at = engines.partition_point(|&listed| listed < engine);
        engines.insert(at, engine);
    }

    /// Engines that may hold an adapter, sorted by id.
    pub(super) fn of(
        &self,
        adapter: AdapterId,
    ) -> &[UpstreamId] {
        self.by_adapter.get(&adapter).map_or(&[], Vec::as_slice)
    }
}
