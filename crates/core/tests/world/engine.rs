use {
    super::{MODEL, Request},
    jasmine_core::{
        ids::{AdapterVersion, DataCentreId, Fence, Holder, UpstreamId},
        ownership::{LoadResult, UnloadResult},
        placement::Instance,
        routing::{UpstreamSpec, UpstreamSpecKind},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A fake engine that loads immediately and runs requests until the test completes them.
#[derive(Clone)]
pub struct FakeEngine {
    pub upstream: UpstreamId,
    pub slots: u32,
    pub checks_fencing: bool,
    pub fence: Fence,
    pub boot: u64,
    pub loaded: BTreeMap<Instance, Vec<(Holder, Request)>>,
    pub failing: BTreeSet<AdapterVersion>,
    pub is_draining: bool,
}

impl FakeEngine {
    pub fn new(
        upstream: u32,
        slots: u32,
        checks_fencing: bool,
    ) -> Self {
        Self {
            upstream: UpstreamId(upstream),
            slots,
            checks_fencing,
            fence: Fence(0),
            boot: 1,
            loaded: BTreeMap::new(),
            failing: BTreeSet::new(),
            is_draining: false,
        }
    }

    pub fn spec(&self) -> UpstreamSpec {
        UpstreamSpec {
            upstream: self.upstream,
            data_centre: DataCentreId(0),
            kind: UpstreamSpecKind::Engine {
                model: MODEL,
                slots: self.slots,
                max_batch: 4,
            },
            is_draining: self.is_draining,
        }
    }

    /// Whether an order has a stale token; records a newer one.
    fn is_stale(
        &mut self,
        fence: Fence,
    ) -> bool {
        let stale = self.checks_fencing && fence < self.fence;
        self.fence = self.fence.max(fence);
        stale
    }

    pub fn raise(
        &mut self,
        fence: Fence,
    ) -> bool {
        !self.is_stale(fence)
    }

    pub fn load(
        &mut self,
        instance: Instance,
        fence: Fence,
    ) -> LoadResult {
        if self.is_stale(fence) {
            return LoadResult::StaleFence;
        }
        if self.failing.contains(&instance.adapter) {
            return LoadResult::Failed;
        }
        if self.loaded.contains_key(&instance) {
            return LoadResult::Loaded;
        }
        if self.loaded.len() as u32 >= self.slots {
            return LoadResult::NoFreeSlot;
        }
        self.loaded.insert(instance, Vec::new());
        LoadResult::Loaded
    }

    /// Unloads an instance and returns how many running requests that cut.
    pub fn unload(
        &mut self,
        instance: Instance,
        fence: Fence,
    ) -> (UnloadResult, usize) {
        if self.is_stale(fence) {
            return (UnloadResult::StaleFence, 0);
        }
        let cut = self.loaded.remove(&instance).map_or(0, |work| work.len());
        (UnloadResult::Gone, cut)
    }

    pub fn end(
        &mut self,
        instance: Instance,
        request: u32,
    ) {
        if let Some(work) = self.loaded.get_mut(&instance) {
            work.retain(|(_, running)| running.id != request);
        }
    }
}
