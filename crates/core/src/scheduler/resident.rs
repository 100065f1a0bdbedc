use crate::{
    clock::Millis,
    decaying_sum::DecayingSum,
    ids::{AdapterVersion, ModelId},
};

/// Half-life of an adapter's recorded demand.
pub(super) const DEMAND_HALF_LIFE: Millis = Millis(5_000);

/// Delay before a late load is checked again; doubled each time.
const LATE_LOAD_DELAY: Millis = Millis(40);
/// How late a load may end that nothing has confirmed.
const MAX_LATENESS: Millis = Millis(1_000);
/// Doublings after which [`LATE_LOAD_DELAY`] stops growing, at 640 ms.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// State of an adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResidentState {
    /// Being loaded.
    Loading {
        /// When the load is expected to finish.
        ready_at: Millis,
        /// Whether it is loaded from the adapter store.
        is_cold: bool,
    },
    /// Loaded.
    Loaded,
    /// Being unloaded.
    Unloading,
}

/// An adapter that occupies one of an engine's adapter slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResidentAdapter {
    pub model: ModelId,
    pub adapter: AdapterVersion,
    pub state: ResidentState,
    /// Recent requests, decayed.
    pub demand: DecayingSum,
    /// Requests rejected since the adapter was last known to be loaded.
    pub late_count: u32,
    /// When the engine accepted the order to load it.
    pub accepted_at: Option<Millis>,
}

impl ResidentAdapter {
    pub(super) fn new(
        model: ModelId,
        adapter: AdapterVersion,
        state: ResidentState,
    ) -> Self {
        Self {
            model,
            adapter,
            state,
            demand: DecayingSum::default(),
            late_count: 0,
            accepted_at: None,
        }
    }

    /// Whether requests can be sent to it; a load counts as finished at its expected time.
    pub(super) fn is_loaded(
        &self,
        now: Millis,
    ) -> bool {
        match self.state {
            ResidentState::Loaded => true,
            ResidentState::Loading { ready_at, .. } => now >= ready_at,
            ResidentState::Unloading => false,
        }
    }

    /// Whether it is certainly loaded: an order to unload it during its load might be lost on the engine.
    pub(super) fn can_be_evicted(
        &self,
        now: Millis,
    ) -> bool {
        match self.state {
            ResidentState::Loaded => true,
            ResidentState::Loading { ready_at, .. } => now >= ready_at + MAX_LATENESS,
            ResidentState::Unloading => false,
        }
    }

    /// Records a request that was rejected because the load is not finished.
    pub(super) fn note_late(
        &mut self,
        now: Millis,
    ) {
        let is_cold = matches!(self.state, ResidentState::Loading { is_cold: true, .. });
        let ready_at = now + Millis(LATE_LOAD_DELAY.0 << self.late_count.min(MAX_DELAY_DOUBLINGS));
        self.state = ResidentState::Loading { ready_at, is_cold };
        self.late_count += 1;
    }

    /// Whether a single request must confirm the load before others are sent.
    ///
    /// Otherwise a late load would cause many rejections, whose retries use up the service's retry
    /// budget.
    pub(super) const fn needs_probe(&self) -> bool {
        self.late_count > 0 && matches!(self.state, ResidentState::Loading { .. })
    }

    /// Expected time until requests can be sent to it; `None` while it is being unloaded.
    pub(super) fn wait(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        match self.state {
            ResidentState::Loaded => Some(Millis::ZERO),
            ResidentState::Loading { ready_at, .. } => Some(ready_at.since(now)),
            ResidentState::Unloading => None,
        }
    }
}
