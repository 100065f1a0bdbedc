use {
    super::Announcement,
    crate::{clock::Millis, ids::DataCentreId},
    std::collections::BTreeMap,
};

/// When an evacuation takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationTimes {
    /// How long requests move away from a data centre before its evacuation takes effect.
    pub moving: Millis,
    /// Time from the last moment at which an evacuation was known to be absent until it takes effect at the latest.
    pub latest_effect: Millis,
}

/// The data centres that an operator is evacuating: their upstreams get no new requests.
///
/// Requests move away before the evacuation takes effect, so that adapters are loaded elsewhere
/// while their copies in the data centre still serve.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    /// When each evacuation takes effect.
    effective_at: BTreeMap<DataCentreId, Millis>,
}

impl Evacuations {
    /// Begins an evacuation; one that is already known keeps its time.
    ///
    /// One that is found in a full read of the store has an unknown age and takes effect at once.
    pub(super) fn begin(
        &mut self,
        data_centre: DataCentreId,
        source: Announcement,
        times: EvacuationTimes,
        now: Millis,
    ) {
        let effective_at = match source {
            Announcement::Found => now,
            Announcement::New { absent_at } => {
                let latest = absent_at + times.latest_effect;
                (now + times.moving).min(latest).max(now)
            }
        };
        self.effective_at.entry(data_centre).or_insert(effective_at);
    }

    /// Ends an evacuation; returns whether there was one.
    pub(super) fn end(
        &mut self,
        data_centre: DataCentreId,
    ) -> bool {
        self.effective_at.remove(&data_centre).is_some()
    }

    /// When the evacuation of a data centre takes effect; `None` if it is not being evacuated.
    pub(super) fn effective_at(
        &self,
        data_centre: Option<DataCentreId>,
    ) -> Option<Millis> {
        self.effective_at.get(&data_centre?).copied()
    }

    /// The next time after `now` at which an evacuation takes effect.
    pub(super) fn next_effect(
        &self,
        now: Millis,
    ) -> Option<Millis> {
        self.effective_at
            .values()
            .copied()
            .filter(|&at| at > now)
            .min()
    }
}
