use crate::{
    clock::Millis,
    decayed::Decayed,
    ids::{AdapterVersion, ModelId},
};

/// How fast the memory of an adapter's use fades.
pub(super) const DEMAND_HALF_LIFE: Millis = Millis(5_000);

/// How much longer a load is expected to take when a request was told that the adapter is not there yet; doubled each
/// time, so often at the most.
const LATE_LOAD: Millis = Millis(40);
const MOST_DOUBLED: u32 = 4;

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
    /// How often requests were told that it is not there yet, since it was last seen to be.
    pub lates: u32,
    /// When the engine accepted the order to load it, if it is known to have.
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

    /// Notes that a request was told that it is not there yet.
    pub(super) fn note_late(
        &mut self,
        now: Millis,
    ) {
        let is_cold = matches!(self.state, PlaceState::Coming { is_cold: true, .. });
        let ready_at = now + Millis(LATE_LOAD.0 << self.lates.min(MOST_DOUBLED));
        self.state = PlaceState::Coming { ready_at, is_cold };
        self.lates += 1;
    }

    /// Whether one request has to find out whether it is there before others are sent.
    ///
    /// An engine that carries an order out late answers all who come too early that it lacks the adapter. Each of these
    /// is sent again, and the repeats that a service may get were used up by them.
    pub(super) const fn is_unproven(&self) -> bool {
        self.lates > 0 && matches!(self.state, PlaceState::Coming { .. })
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
