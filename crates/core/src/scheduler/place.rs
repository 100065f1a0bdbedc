use crate::{
    clock::Millis,
    decayed::Decayed,
    ids::{AdapterVersion, ModelId},
};

/// How fast the memory of an adapter's use fades.
pub(super) const DEMAND_HALF_LIFE: Millis = Millis(5_000);

/// Where an adapter on an engine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlaceState {
    /// On its way; expected to be ready at a point in time.
    Coming {
        /// When.
        ready_at: Millis,
        /// Whether it is fetched from the adapter store.
        is_cold: bool,
    },
    /// Ready for requests.
    Present,
    /// Ordered to go.
    Going,
}

/// An adapter that takes one of an engine's places.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub model: ModelId,
    pub adapter: AdapterVersion,
    pub state: PlaceState,
    /// How much it is used, fading.
    pub demand: Decayed,
}

impl Place {
    pub(super) fn new(
        model: ModelId,
        adapter: AdapterVersion,
        state: PlaceState,
    ) -> Self {
        Self {
            model,
            adapter,
            state,
            demand: Decayed::default(),
        }
    }

    /// Whether requests may be sent to it: a load counts as done once its time is up.
    pub(super) fn is_present(
        &self,
        now: Millis,
    ) -> bool {
        match self.state {
            PlaceState::Present => true,
            PlaceState::Coming { ready_at, .. } => now >= ready_at,
            PlaceState::Going => false,
        }
    }

    /// How long until requests may be sent to it; none if never.
    pub(super) fn wait(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        match self.state {
            PlaceState::Present => Some(Millis::ZERO),
            PlaceState::Coming { ready_at, .. } => Some(ready_at.since(now)),
            PlaceState::Going => None,
        }
    }
}
