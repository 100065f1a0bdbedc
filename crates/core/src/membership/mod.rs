//! Membership of the holders of rate-limit rights, agreed in epochs through the platform's store.
//!
//! The epoch record in the store lists the holders. A change of membership opens a new epoch. Each
//! holder that enters it reports its rights at that moment. Transfers between different epochs are
//! refused, so the reports form a consistent snapshot. Once all members have reported, rights that
//! nobody reported were lost with dead holders or in transfers, and the finalised record grants them
//! again.
//!
//! Only holders known to be dead are left out of an epoch, and only when it is opened. A holder that
//! dies during an epoch may have transferred rights it had not reported, so that epoch is never
//! finalised and the next one is opened. A holder is dead if
//!
//! - it released its rights at shutdown,
//! - a newer incarnation of the same daemon runs on the same VM, or
//! - its VM has no live lease and has been missing from the platform's list for longer than the list
//!   lags.
//!
//! A lapsed lease alone is not enough: a paused VM may resume and use its rights, so granting them
//! again would exceed the limit. Until a listed VM reports or is gone, nothing is granted again.
//!
//! An account that was never granted needs no reports: the record that opens the epoch grants all its
//! rights with a full burst, even if a paused VM keeps the epoch from being finalised.

mod epoch_action;
mod epoch_machine;
mod epoch_record;
mod keys;
mod reissue;
mod settings;
mod store_view;
mod vm_watch;

pub use {
    epoch_action::EpochAction,
    epoch_machine::EpochMachine,
    epoch_record::{EpochRecord, HolderGrants},
    keys::{
        EPOCH_KEY, HOLDINGS_PREFIX, RELEASED_PREFIX, holdings_key, holdings_prefix, released_key,
    },
    settings::MembershipSettings,
    store_view::{Budget, HoldingsRecord, LiveVm, ReleasedRecord, StoreView, Versioned},
};
