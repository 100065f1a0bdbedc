use {
    crate::{
        clock::Millis,
        ids::{AccountId, ModelId, UpstreamId},
    },
    std::collections::BTreeSet,
};

/// An acquire request without a reply yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingAcquire {
    pub(super) upstream: UpstreamId,
    /// Id of the acquire request.
    pub(super) ask: u64,
    pub(super) since: Millis,
}

/// Why an engine is avoided for an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AvoidReason {
    Full,
    LoadFailed,
    NotLoaded,
}

/// An engine that is temporarily not asked for an adapter.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvoidedEngine {
    pub(super) upstream: UpstreamId,
    pub(super) until: Millis,
    pub(super) reason: AvoidReason,
}

/// What this gateway knows about one adapter version.
#[derive(Clone, Debug)]
pub(super) struct AdapterEntry {
    pub(super) model: ModelId,
    /// The client account that used it last.
    pub(super) account: AccountId,
    /// Engines that have it loaded, according to their owners.
    pub(super) resident: BTreeSet<UpstreamId>,
    /// Engines on which this gateway holds a grant for it.
    pub(super) held: BTreeSet<UpstreamId>,
    pub(super) pending: Vec<PendingAcquire>,
    pub(super) avoided: Vec<AvoidedEngine>,
    /// The engine whose owner last replied that the load is in progress.
    pub(super) loading_on: Option<UpstreamId>,
    /// Engines in order of preference.
    pub(super) preferred: Vec<UpstreamId>,
    /// The `upstreams_version` of the router for which `preferred` was computed.
    pub(super) preferred_version: u64,
}

impl AdapterEntry {
    pub(super) fn new(model: ModelId) -> Self {
        Self {
            model,
            account: AccountId::default(),
            resident: BTreeSet::new(),
            held: BTreeSet::new(),
            pending: Vec::new(),
            avoided: Vec::new(),
            loading_on: None,
            preferred: Vec::new(),
            preferred_version: 0,
        }
    }

    pub(super) fn avoids(
        &self,
        upstream: UpstreamId,
        now: Millis,
    ) -> bool {
        self.avoided
            .iter()
            .any(|avoid| avoid.upstream == upstream && now < avoid.until)
    }

    /// The time until the first avoided engine may be asked again.
    pub(super) fn time_until_retry(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        self.avoided
            .iter()
            .filter(|avoid| now < avoid.until)
            .map(|avoid| avoid.until.since(now))
            .min()
    }

    /// Number of engines on which its load failed recently.
    pub(super) fn failed_loads(
        &self,
        now: Millis,
    ) -> usize {
        self.avoided
            .iter()
            .filter(|avoid| avoid.reason == AvoidReason::LoadFailed && now < avoid.until)
            .count()
    }

    /// Whether the entry holds no state that is still needed.
    pub(super) fn is_idle(
        &self,
        now: Millis,
    ) -> bool {
        self.resident.is_empty()
            && self.held.is_empty()
            && self.pending.is_empty()
            && self.time_until_retry(now).is_none()
    }
}
