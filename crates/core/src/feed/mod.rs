//! Distribution of store changes to VMs.
//!
//! The store limits its call rate, so not every VM polls it. One VM per data centre reads the store and
//! the others poll that VM. It is not elected: all VMs of a data centre rank themselves in the same
//! order, and each polls the first one that serves changes.
//!
//! A VM that can't reach the store any more notices this by the age of the store's last response and
//! reports itself as stale. The VMs that poll it then use the next one, which reads the store as soon as it is
//! polled, or the store.

mod catch_up;
mod lapse;
mod recent_changes;
mod source_choice;
mod vm_rank;

pub use {
    catch_up::{CatchUp, ChangeBatch, ReadNext},
    lapse::may_have_lapsed,
    recent_changes::{Change, ChangesSince, MAX_MINOR_CHANGES, RecentChanges},
    source_choice::{Source, SourceChoice, SourceFailure},
    vm_rank::VmRank,
};
