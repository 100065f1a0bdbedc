use {
    super::Announcement,
    crate::{clock::Millis, ids::DataCentreId},
    std::collections::BTreeMap,
};

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
        move_time: Millis,
        now: Millis,
    ) {
        let effective_at = match source {
            Announcement::Found => now,
            Announcement::New { .. } => now + move_time,
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
