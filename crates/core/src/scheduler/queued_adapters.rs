use {
    super::{Job, announced_versions::AnnouncedVersions, fleet::Fleet},
    crate::{IdMap, clock::Millis, ids::AdapterId},
};

/// How long after the expected end of a load its requests are decided; the end is an estimate, and a request that is sent
/// early is rejected and uses up the budget of retries.
const LOAD_END_MARGIN: Millis = Millis(10);

/// The adapters for which requests are queued.
#[derive(Clone, Debug, Default)]
pub(super) struct QueuedAdapters {
    by_adapter: IdMap<AdapterId, QueuedAdapter>,
}

/// An adapter for which requests are queued.
#[derive(Clone, Copy, Debug, Default)]
struct QueuedAdapter {
    requests: u32,
    /// When it was usable after its last load.
    loaded_at: Option<Millis>,
    /// When it is expected to be usable after its next load.
    next_at: Option<Millis>,
}

impl QueuedAdapter {
    /// When it was last expected to be usable after a load, if that time has passed.
    fn last_loaded_at(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        self.next_at.filter(|&at| at <= now).or(self.loaded_at)
    }
}

impl QueuedAdapters {
    /// Records that a request for an adapter is queued.
    pub(super) fn add(
        &mut self,
        adapter: AdapterId,
    ) {
        self.by_adapter.entry(adapter).or_default().requests += 1;
    }

    /// Records that a request for an adapter is no longer queued.
    pub(super) fn remove(
        &mut self,
        adapter: AdapterId,
    ) {
        if let Some(queued) = self.by_adapter.get_mut(&adapter) {
            queued.requests = queued.requests.saturating_sub(1);
            if queued.requests == 0 {
                self.by_adapter.remove(&adapter);
            }
        }
    }

    /// How many requests for an adapter are queued.
    pub(super) fn requests(
        &self,
        adapter: AdapterId,
    ) -> u32 {
        self.by_adapter
            .get(&adapter)
            .map_or(0, |queued| queued.requests)
    }

    /// Records when the load that a request waits for is expected to end.
    pub(super) fn note_awaited(
        &mut self,
        job: &Job,
        fleet: &Fleet,
        versions: &AnnouncedVersions,
        now: Millis,
    ) {
        let wanted = job.adapter().map(|adapter| versions.wanted(adapter));
        if let Some(wanted) = wanted
            && let Some(ends_at) = fleet.next_load_end(wanted, now)
        {
            self.note_load(wanted.adapter, ends_at, now);
        }
    }

    /// Records that a load of an adapter is expected to end at this time, if requests are queued for it.
    pub(super) fn note_load(
        &mut self,
        adapter: AdapterId,
        ends_at: Millis,
        now: Millis,
    ) {
        if let Some(queued) = self.by_adapter.get_mut(&adapter) {
            let pending = queued.next_at.filter(|&at| at > now);
            let usable_at = ends_at + LOAD_END_MARGIN;
            queued.loaded_at = queued.last_loaded_at(now);
            queued.next_at = Some(pending.map_or(usable_at, |at| at.min(usable_at)));
        }
    }

    /// Whether a load of a request's adapter has ended after the request was last evaluated.
    pub(super) fn is_newly_loaded(
        &self,
        job: &Job,
        evaluated_at: Millis,
        now: Millis,
    ) -> bool {
        job.adapter()
            .and_then(|adapter| self.by_adapter.get(&adapter))
            .and_then(|queued| queued.last_loaded_at(now))
            .is_some_and(|loaded_at| loaded_at > evaluated_at)
    }
}
