use crate::{
    clock::Millis,
    decayed::Decayed,
    ids::{AdapterVersion, ModelId},
};

/// Half-life of an adapter's recorded demand.
pub(super) const DEMAND_HALF_LIFE: Millis = Millis(5_000);

/// Delay before a late load is checked again, doubled each time, and the maximum number of
/// doublings.
const LATE_LOAD: Millis = Millis(40);
const MOST_DOUBLED: u32 = 4;

/// State of an adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlaceState {
    /// Being loaded.
    Coming {
        /// When the load is expected to finish.
        ready_at: Millis,
        /// Whether it is loaded from the adapter store.
        is_cold: bool,
    },
    /// Loaded.
    Present,
    /// Being unloaded.
    Going,
}

/// An adapter that occupies one of an engine's adapter slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    pub model: ModelId,
    pub adapter: AdapterVersion,
    pub state: PlaceState,
    /// Recent requests, decayed.
    pub demand: Decayed,
    /// Requests rejected since the adapter was last known to be loaded.
    pub lates: u32,
    /// When the engine accepted the command to load it.
    pub accepted_at: Option<Millis>,
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
            lates: 0,
            accepted_at: None,
        }
    }

    /// Whether requests can be sent to it; a load counts as finished at its expected time.
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

    /// Records a request that was rejected because the load is not finished.
    pub(super) fn note_late(
        &mut self,
        now: Millis,
    ) {
        let is_cold = matches!(self.state, PlaceState::Coming { is_cold: true, .. });
        let ready_at = now + Millis(LATE_LOAD.0 << self.lates.min(MOST_DOUBLED));
        self.state = PlaceState::Coming { ready_at, is_cold };
        self.lates += 1;
    }

    /// Whether a single request must confirm the load before others are sent.
    ///
    /// Otherwise a late load would cause many rejections, whose retries use up the service's retry
    /// budget.
    pub(super) const fn is_unproven(&self) -> bool {
        self.lates > 0 && matches!(self.state, PlaceState::Coming { .. })
    }

    /// Expected time until requests can be sent to it; `None` while it is being unloaded.
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
