use {
    crate::{
        clock::Millis,
        ids::{AccountId, ModelId, UpstreamId},
    },
    std::collections::BTreeSet,
};

/// A question that is under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    pub(super) upstream: UpstreamId,
    pub(super) ask: u64,
    pub(super) since: Millis,
}

/// Why an engine is not to be asked for an adapter for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reason {
    Full,
    LoadFailed,
    NotLoaded,
}

/// An engine that is not to be asked for an adapter for a while.
#[derive(Clone, Copy, Debug)]
pub(super) struct Avoid {
    pub(super) upstream: UpstreamId,
    pub(super) until: Millis,
    pub(super) reason: Reason,
}

/// One adapter version as this gateway sees it.
#[derive(Clone, Debug)]
pub(super) struct AdapterEntry {
    pub(super) model: ModelId,
    /// The client account that used it last.
    pub(super) account: AccountId,
    /// Engines that have it, by their owners' word.
    pub(super) resident: BTreeSet<UpstreamId>,
    /// Engines on which this gateway holds a grant for it.
    pub(super) held: BTreeSet<UpstreamId>,
    pub(super) pending: Vec<Pending>,
    pub(super) avoid: Vec<Avoid>,
    /// The engine whose owner has said that the load is under way.
    pub(super) loading_on: Option<UpstreamId>,
    /// Engines in the order of preference, for one state of the list of upstreams.
    pub(super) preferred: Vec<UpstreamId>,
    pub(super) preferred_for: u64,
}

impl AdapterEntry {
    pub(super) fn new(model: ModelId) -> Self {
        Self {
            model,
            account: AccountId::default(),
            resident: BTreeSet::new(),
            held: BTreeSet::new(),
            pending: Vec::new(),
            avoid: Vec::new(),
            loading_on: None,
            preferred: Vec::new(),
            preferred_for: 0,
        }
    }

    pub(super) fn avoids(
        &self,
        upstream: UpstreamId,
        now: Millis,
    ) -> bool {
        self.avoid
            .iter()
            .any(|avoid| avoid.upstream == upstream && now < avoid.until)
    }

    /// The time until the first engine that was avoided may be asked again.
    pub(super) fn avoid_left(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        self.avoid
            .iter()
            .filter(|avoid| now < avoid.until)
            .map(|avoid| avoid.until.since(now))
            .min()
    }

    /// Engines on which its load has failed lately.
    pub(super) fn failures(
        &self,
        now: Millis,
    ) -> usize {
        self.avoid
            .iter()
            .filter(|avoid| avoid.reason == Reason::LoadFailed && now < avoid.until)
            .count()
    }

    /// Whether nothing is worth remembering of it.
    pub(super) fn is_idle(
        &self,
        now: Millis,
    ) -> bool {
        self.resident.is_empty()
            && self.held.is_empty()
            && self.pending.is_empty()
            && self.avoid_left(now).is_none()
    }
}
