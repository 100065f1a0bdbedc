use {
    jasmine_core::{
        clock::Millis,
        ids::{Epoch, Holder, VmId},
        membership::{
            EpochAction, EpochRecord, HoldingsRecord, LiveVm, ReleasedRecord, StoreView, Versioned,
        },
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Fake of the platform's key-value service and VM list.
#[derive(Debug, Default)]
pub struct Store {
    pub up: bool,
    pub listed: BTreeSet<VmId>,
    revision: u64,
    members: BTreeMap<VmId, (LiveVm, Millis)>,
    epoch: Option<Versioned<EpochRecord>>,
    holdings: BTreeMap<(Epoch, Holder), HoldingsRecord>,
    released: BTreeMap<Holder, ReleasedRecord>,
}

impl Store {
    /// Writes a member record with a lease that expires at `until`.
    pub fn keep_alive(
        &mut self,
        live: LiveVm,
        until: Millis,
    ) {
        self.members.insert(live.vm, (live, until));
    }

    /// Revokes the lease of a VM.
    pub fn revoke(
        &mut self,
        vm: VmId,
    ) {
        self.members.remove(&vm);
    }

    /// Stores a report of holdings unless there is one.
    pub fn report(
        &mut self,
        record: HoldingsRecord,
    ) {
        self.holdings
            .entry((record.epoch, record.holder))
            .or_insert(record);
    }

    /// Stores the final report of a holder.
    pub fn release(
        &mut self,
        record: ReleasedRecord,
    ) {
        self.released.insert(record.holder, record);
    }

    /// Returns the view that a controller reads.
    pub fn read(
        &self,
        now: Millis,
    ) -> StoreView {
        let epoch = self.epoch.as_ref().map_or(Epoch(0), |at| at.value.epoch);
        StoreView {
            read_at: now,
            live: self
                .members
                .values()
                .filter(|&&(_, until)| now < until)
                .map(|&(live, _)| live)
                .collect(),
            listed: Some(self.listed.clone()),
            epoch: self.epoch.clone(),
            holdings: self
                .holdings
                .values()
                .filter(|report| report.epoch == epoch)
                .cloned()
                .collect(),
            released: self.released.values().cloned().collect(),
            budgets: Vec::new(),
        }
    }

    /// Applies a write.
    pub fn write(
        &mut self,
        action: EpochAction,
    ) {
        self.revision += 1;
        let current = self.epoch.as_ref().map(|epoch| epoch.mod_revision);
        match action {
            EpochAction::WriteEpoch { compare, record } if compare == current => {
                self.epoch = Some(Versioned {
                    value: record,
                    mod_revision: self.revision,
                });
            }
            EpochAction::WriteEpoch { .. } => (),
            EpochAction::DeleteHoldingsBefore(epoch) => {
                self.holdings.retain(|&(of, _), _| of >= epoch);
            }
            EpochAction::DeleteReleased(holder) => {
                self.released.remove(&holder);
            }
        }
    }

    /// The current epoch record.
    pub fn epoch(&self) -> Option<&EpochRecord> {
        self.epoch.as_ref().map(|epoch| &epoch.value)
    }
}
