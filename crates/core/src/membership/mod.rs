//! Membership of the holders of rights, as epochs agreed through the platform's store.
//!
//! The store's epoch record names the holders of rights. A change of membership opens a new epoch.
//! Each holder that enters it reports what it holds at that moment; transfers between different
//! epochs are refused, so the reports are one consistent cut. Once all have reported, what is
//! missing to the whole was lost with dead holders and lost transfers, and is granted anew by the
//! finalised record.
//!
//! Only holders with a proof of death are left out of an epoch, and only when it is opened: one
//! that died in the middle may have given away what it had not reported, so the epoch it died in is
//! never finalised; the next one is. Proofs of death:
//!
//! - it gave its rights back at shutdown,
//! - a newer incarnation of the same daemon runs on the same VM,
//! - its VM has no live lease and has been gone from the platform's list for longer than its lag.
//!
//! Silence alone proves nothing: a frozen VM that is still listed keeps its share, and until it
//! reports or is gone nothing can be reissued. Taking a lapsed lease for a proof would bring rights
//! back sooner; tried, 302 of 2,000 generated orders of the tests failed, the first with a third more
//! than the whole in force.
//!
//! An account that nobody has ever held needs no reports: its whole, with a full burst, is granted by
//! the record that opens the epoch, also while a frozen VM keeps that epoch from being finalised.

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
