use {
    super::EpochRecord,
    crate::ids::{Epoch, Holder},
};

/// A write to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EpochAction {
    /// Replace the epoch record if it is still the one that was read.
    WriteEpoch {
        /// The revision that was read; `None` to write only if there is no record.
        compare: Option<u64>,
        /// The new record.
        record: EpochRecord,
    },
    /// Delete the reports for all epochs before this one, which are no longer read.
    DeleteHoldingsBefore(Epoch),
    /// Delete the final release of a holder that is no longer a member.
    DeleteReleased(Holder),
}
